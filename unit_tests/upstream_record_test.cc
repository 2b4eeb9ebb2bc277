#include <criterion/criterion.h>

#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "filbertwick/platform/store_client.h"
#include "filbertwick/platform/upstream_record.h"
#include "filbertwick/standin/platform_store.h"
#include "unit_tests/http_fixture.h"

namespace {

using filbertwick::InstanceName;
using filbertwick::LogLine;
using filbertwick::ZoneName;
using filbertwick::core::direct::UpstreamAnnouncement;
using filbertwick::platform::StoreClient;
using filbertwick::platform::UpstreamRecord;
using filbertwick::standin::PlatformStore;
using filbertwick::test::LoopThread;

constexpr const char* kTopic = "keyed.upstreams";
constexpr const char* kSidecar = "side-a-1";

UpstreamAnnouncement Upstream(const std::string& id) {
  UpstreamAnnouncement upstream;
  upstream.id = id;
  upstream.started_unix_millis = 17;
  upstream.profile.service = "quotes";
  upstream.profile.zone = ZoneName("zone-a");
  upstream.profile.labels = {"large", "rack-1"};
  upstream.profile.capacity = {16'000, 65'536, 2};
  return upstream;
}

/// A store with one partition, its client, and the record of one sidecar.
class RecordTest {
 public:
  RecordTest() {
    loop.Run([&] {
      store = *PlatformStore::Create(loop.context(), "127.0.0.1", 0);
      client =
          StoreClient::Create(loop.context(), {"127.0.0.1", store->port()});
    });
  }
  ~RecordTest() {
    loop.Stop();
    record.reset();
    client.reset();
    store.reset();
  }

  /// Opens the record, as a new incarnation of the sidecar does.
  void Open() {
    loop.Run([&] {
      record = UpstreamRecord::Create(
          loop.context(), *client, 1, InstanceName(kSidecar),
          {[this](const UpstreamAnnouncement& it) { OnLoaded(it); },
           [](const LogLine&) {}});
    });
  }

  void Save(const std::optional<UpstreamAnnouncement>& upstream) {
    loop.Run([&] { record->Save(upstream); });
  }

  /// Waits until the store's value of the record meets the condition; a test in
  /// which it never does times out.
  std::optional<std::string> WaitForValue(bool present) {
    std::promise<std::optional<std::string>> reached;
    std::function<void()> read = [&] {
      client->ReadValue(kTopic, kSidecar, [&, present](auto value) {
        if (value.ok() && value->has_value() == present) {
          reached.set_value(*value);
        } else {
          read();
        }
      });
    };
    loop.Run(read);
    return reached.get_future().get();
  }

  /// Waits until the record is loaded.
  UpstreamAnnouncement WaitForLoad() { return loaded.get_future().get(); }

  LoopThread loop;
  std::unique_ptr<PlatformStore> store;
  std::unique_ptr<StoreClient> client;
  std::unique_ptr<UpstreamRecord> record;
  std::promise<UpstreamAnnouncement> loaded;
  int loads = 0;

 private:
  void OnLoaded(const UpstreamAnnouncement& upstream) {
    ++loads;
    loaded.set_value(upstream);
  }
};

}  // namespace

Test(upstream_record, loads_what_an_earlier_incarnation_saved) {
  RecordTest test;
  test.Open();
  UpstreamAnnouncement upstream = Upstream("up-1");
  upstream.draining = true;
  test.Save(upstream);
  test.WaitForValue(true);
  test.Open();
  const UpstreamAnnouncement loaded = test.WaitForLoad();
  cr_assert_eq(loaded.id, "up-1");
  cr_assert_eq(loaded.started_unix_millis, 17);
  cr_assert(loaded.draining);
  cr_assert(loaded.profile == upstream.profile);
}

Test(upstream_record, deletes_the_record_of_an_upstream_that_left) {
  RecordTest test;
  test.Open();
  test.Save(Upstream("up-1"));
  test.WaitForValue(true);
  test.Save(std::nullopt);
  test.WaitForValue(false);
  test.Open();
  test.Save(Upstream("up-2"));
  test.WaitForValue(true);
  cr_assert_eq(test.loads, 0);
}

Test(upstream_record, writes_the_newest_value_after_an_outage) {
  RecordTest test;
  test.Open();
  test.loop.Run([&] { test.store->SetDown(true); });
  test.Save(Upstream("up-1"));
  test.Save(Upstream("up-2"));
  test.loop.Run([&] { test.store->SetDown(false); });
  test.WaitForValue(true);
  test.Open();
  cr_assert_eq(test.WaitForLoad().id, "up-2");
}

Test(upstream_record, replaces_a_record_that_it_can_not_read) {
  RecordTest test;
  test.loop.Run([&] { test.store->Put(kTopic, kSidecar, "\x01garbage"); });
  test.Open();
  test.Save(Upstream("up-1"));
  std::optional<std::string> value = test.WaitForValue(true);
  while (value == "\x01garbage") {
    value = test.WaitForValue(true);
  }
  cr_assert_eq(test.loads, 0);
  test.Open();
  cr_assert_eq(test.WaitForLoad().id, "up-1");
}

Test(upstream_record, reads_the_value_of_one_key_among_others) {
  RecordTest test;
  test.loop.Run([&] {
    test.store->Put(kTopic, "side-a", "other");
    test.store->Put(kTopic, "side-a-", "other");
    test.store->Put(kTopic, "side-a-10", "other");
    test.store->Put(kTopic, kSidecar, "mine");
  });
  cr_assert_eq(*test.WaitForValue(true), "mine");
}
