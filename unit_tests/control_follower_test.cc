#include <criterion/criterion.h>

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <utility>

#include "filbertwick/http/server.h"
#include "filbertwick/platform/control_follower.h"
#include "filbertwick/platform/store_client.h"
#include "filbertwick/standin/platform_store.h"
#include "unit_tests/http_fixture.h"

namespace {

using filbertwick::Duration;
using filbertwick::LogLine;
using filbertwick::ZoneName;
using filbertwick::core::direct::ControlPosition;
using filbertwick::core::direct::ControlStreamState;
using filbertwick::platform::ControlFollower;
using filbertwick::platform::StoreClient;
using filbertwick::standin::PlatformStore;
using filbertwick::test::LoopThread;

constexpr const char* kTopic = "keyed.op";

std::string ConfigurationText(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"host":"h","path-prefix":"/p/","service":"s"}]})";
}

/// A ControlFollower with its own store client, on its own thread.
class TestFollower {
 public:
  TestFollower(uint16_t store_port,
               uint16_t peer_port,
               Duration call_timeout = StoreClient::kCallTimeout) {
    loop_.Run([&] {
      client_ = StoreClient::Create(loop_.context(), {"127.0.0.1", store_port},
                                    call_timeout);
      filbertwick::core::policy::ReadTimes times;
      times.poll_wait = std::chrono::milliseconds(200);
      times.overdue_after = std::chrono::milliseconds(50);
      times.lost_interval = std::chrono::milliseconds(50);
      follower_ = ControlFollower::Create(
          loop_.context(), *client_, times, peer_port, std::chrono::seconds(2),
          {[this] { CheckPredicate(); },
           [this](const LogLine& line) { OnLogged(line.event()); }});
    });
  }
  ~TestFollower() {
    loop_.Stop();
    peer_.reset();
    follower_.reset();
    client_.reset();
  }

  /// Waits until the followed state meets the condition; a test in which it
  /// never does times out.
  void WaitFor(
      const std::function<bool(const ControlStreamState&)>& predicate) {
    std::promise<void> reached;
    loop_.Run([&] {
      predicate_ = predicate;
      reached_ = &reached;
      CheckPredicate();
    });
    reached.get_future().wait();
  }

  /// Waits until the follower logs an event.
  void WaitForEvent(const std::string& event) {
    std::promise<void> logged;
    loop_.Run([&] {
      event_ = event;
      logged_ = &logged;
    });
    logged.get_future().wait();
  }

  /// Starts to serve its snapshot to other followers; returns the port.
  uint16_t ServeSnapshots() {
    loop_.Run([&] {
      peer_ = *filbertwick::http::Server::Create(
          loop_.context(), {}, [this](const auto&, const auto& respond) {
            respond(follower_->SnapshotResponse());
          });
    });
    return peer_->port();
  }

  /// Reports the position of another instance at the loopback address.
  void ReportPeerPosition(const ControlPosition& position) {
    loop_.Run([&] { follower_->OnPeerPosition("127.0.0.1", position); });
  }

 private:
  /// Called on the loop's thread after each change.
  void CheckPredicate() {
    if (reached_ != nullptr && predicate_(follower_->current())) {
      std::exchange(reached_, nullptr)->set_value();
    }
  }

  void OnLogged(std::string_view event) {
    if (logged_ != nullptr && event == event_) {
      std::exchange(logged_, nullptr)->set_value();
    }
  }

  LoopThread loop_;
  /// Set while WaitForEvent() waits.
  std::promise<void>* logged_ = nullptr;
  std::string event_;
  std::function<bool(const ControlStreamState&)> predicate_;
  /// Set while WaitFor() waits.
  std::promise<void>* reached_ = nullptr;
  std::unique_ptr<StoreClient> client_;
  std::unique_ptr<ControlFollower> follower_;
  std::unique_ptr<filbertwick::http::Server> peer_;
};

std::function<bool(const ControlStreamState&)> HasVersion(uint64_t version) {
  return [version](const ControlStreamState& current) {
    return current.position().version == version;
  };
}

std::function<bool(const ControlStreamState&)> IsZoneOut(const char* zone,
                                                         bool out) {
  return [zone, out](const ControlStreamState& current) {
    return current.IsZoneOut(ZoneName(zone)) == out;
  };
}

/// A store that holds a first configuration.
class ControlTest {
 public:
  ControlTest() {
    loop.Run([&] {
      store = *PlatformStore::Create(loop.context(), "127.0.0.1", 0);
      store->Put(kTopic, "config", ConfigurationText(3));
    });
  }
  ~ControlTest() {
    loop.Stop();
    store.reset();
  }

  LoopThread loop;
  std::unique_ptr<PlatformStore> store;
};

}  // namespace

Test(control_follower, applies_existing_and_new_records) {
  ControlTest test;
  TestFollower follower(test.store->port(), 1);
  follower.WaitFor(HasVersion(3));
  test.loop.Run([&] {
    test.store->Put(kTopic, "config", ConfigurationText(7));
    test.store->Put(kTopic, "evacuate/a", "{}");
    test.store->Put(kTopic, "wave/1", "{}");
    test.store->Put(kTopic, "config", "unreadable");
  });
  follower.WaitFor(HasVersion(7));
  follower.WaitFor(IsZoneOut("a", true));
  test.loop.Run([&] { test.store->Put(kTopic, "evacuate/a", ""); });
  follower.WaitFor(IsZoneOut("a", false));
}

Test(control_follower, ignores_an_older_configuration) {
  ControlTest test;
  TestFollower follower(test.store->port(), 1);
  follower.WaitFor(HasVersion(3));
  test.loop.Run([&] {
    test.store->Put(kTopic, "config", ConfigurationText(2));
    test.store->Put(kTopic, "evacuate/a", "{}");
  });
  follower.WaitFor(IsZoneOut("a", true));
  follower.WaitFor(HasVersion(3));
}

Test(control_follower, starts_over_when_its_offset_was_compacted) {
  ControlTest test;
  TestFollower follower(test.store->port(), 1);
  test.loop.Run([&] { test.store->Put(kTopic, "evacuate/a", "{}"); });
  follower.WaitFor(IsZoneOut("a", true));
  test.loop.Run([&] {
    test.store->SetDown(true);
    test.store->Put(kTopic, "evacuate/a", "");
    test.store->Put(kTopic, "evacuate/b", "{}");
    test.store->Put(kTopic, "config", ConfigurationText(9));
    test.store->Compact(kTopic);
    test.store->SetDown(false);
  });
  follower.WaitFor(HasVersion(9));
  follower.WaitFor(IsZoneOut("a", false));
  follower.WaitFor(IsZoneOut("b", true));
}

// Guards against an instance that keeps an old state because only its own
// connection to the store fails. The store serves one instance here and is
// unreachable for the other, which must learn of the state from the first.
Test(control_follower, fetches_a_snapshot_while_the_store_is_unreachable) {
  ControlTest test;
  TestFollower ahead(test.store->port(), 1);
  ahead.WaitFor(HasVersion(3));
  // Nothing listens on the port that it uses for the store.
  TestFollower cut_off(1, ahead.ServeSnapshots());
  ControlPosition position;
  ahead.WaitFor([&](const ControlStreamState& current) {
    position = current.position();
    return true;
  });
  cut_off.WaitFor(HasVersion(0));
  while (true) {
    cut_off.ReportPeerPosition(position);
    bool learned = false;
    cut_off.WaitFor([&](const ControlStreamState& current) {
      learned = current.position().version == 3;
      return true;
    });
    if (learned) {
      break;
    }
  }
}

// A read on a connection that had gone silent kept a changed configuration out
// of force until it timed out. These calls never do.
Test(control_follower, reads_on_a_new_connection_beside_a_silent_one) {
  ControlTest test;
  TestFollower follower(test.store->port(), 1, std::chrono::hours(1));
  follower.WaitFor(HasVersion(3));
  test.loop.Run([&] {
    test.store->SetSilent(true);
    test.store->SetSilent(false);
    test.store->Put(kTopic, "config", ConfigurationText(5));
  });
  follower.WaitFor(HasVersion(5));
}

// The same after outages in which no read, whenever it began, was answered, one
// after the other: the connections of all of them stay silent.
Test(control_follower, follows_again_after_each_silent_outage) {
  ControlTest test;
  TestFollower follower(test.store->port(), 1, std::chrono::hours(1));
  follower.WaitFor(HasVersion(3));
  for (int version = 4; version < 7; ++version) {
    test.loop.Run([&] { test.store->SetSilent(true); });
    follower.WaitForEvent("store_lost");
    test.loop.Run([&] {
      test.store->SetSilent(false);
      test.store->Put(kTopic, "config", ConfigurationText(version));
    });
    follower.WaitFor(HasVersion(static_cast<uint64_t>(version)));
  }
}

Test(store_client, appends_and_reads_binary_values) {
  ControlTest test;
  std::unique_ptr<StoreClient> client;
  const std::string value("a\0\xff", 3);
  std::promise<absl::Status> appended;
  test.loop.Run([&] {
    client = StoreClient::Create(test.loop.context(),
                                 {"127.0.0.1", test.store->port()});
    client->Append("keyed.mine", "key", value, [&](absl::Status status) {
      appended.set_value(std::move(status));
    });
  });
  cr_assert(appended.get_future().get().ok());
  std::promise<filbertwick::platform::NewestPage> read;
  test.loop.Run([&] {
    client->ReadNewest("keyed.mine", "",
                       [&](auto page) { read.set_value(*std::move(page)); });
  });
  const auto page = read.get_future().get();
  cr_assert_eq(page.records.size(), 1);
  cr_assert_eq(page.records.front().value, value);
  test.loop.Run([&] { client.reset(); });
}
