#include <criterion/criterion.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "filbertwick/net/instance_net.h"
#include "unit_tests/http_fixture.h"

namespace {

using boost::asio::ip::udp;
using filbertwick::InstanceName;
using filbertwick::LogLine;
using filbertwick::core::direct::EntryLoad;
using filbertwick::core::direct::EntryMessage;
using filbertwick::core::direct::HandoverMessage;
using filbertwick::core::direct::Member;
using filbertwick::net::InstanceNet;
using filbertwick::net::InstanceNetHooks;
using filbertwick::test::LoopThread;

/// Loopback addresses, one for each instance of a test.
constexpr const char* kEntryHost = "127.0.0.2";
constexpr const char* kSidecarHost = "127.0.0.3";

/// Collects the events of all instances; a test can wait for one of them.
class EventLog {
 public:
  void Add(const std::string& event_name) {
    std::lock_guard lock(mutex_);
    events_.push_back(event_name);
    changed_.notify_all();
  }
  void WaitFor(const std::string& event_name) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] {
      return std::ranges::find(events_, event_name) != events_.end();
    });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> events_;
};

/// Returns a UDP port that is not in use at the moment.
uint16_t FreePort() {
  boost::asio::io_context context;
  udp::socket socket(
      context, udp::endpoint(boost::asio::ip::make_address(kEntryHost), 0));
  return socket.local_endpoint().port();
}

std::unique_ptr<InstanceNet> CreateNet(LoopThread& loop,
                                       EventLog& events,
                                       const Member& self,
                                       uint16_t port,
                                       std::vector<std::string> seeds) {
  InstanceNetHooks hooks;
  hooks.entry_message = [&events](const EntryMessage& message) {
    events.Add("message of " + message.from.name.value());
  };
  hooks.sidecar_message = [](const auto&) {};
  hooks.handover_message = [&events](const HandoverMessage& message) {
    events.Add("handover of " + message.from.name.value());
  };
  hooks.own_load = [] { return EntryLoad{{500, 0}, 40, 3, true}; };
  hooks.entry_load = [&events](const auto& entry, const auto& zone,
                               const EntryLoad& load) {
    events.Add(entry.name.value() + " in " + zone.value() + " at " +
               std::to_string(load.pressure_percent));
  };
  hooks.member_found = [&events, self](const Member& member) {
    events.Add(self.peer.name.value() + " knows " + member.peer.name.value());
  };
  hooks.control_position_received = [](const std::string&, const auto&) {};
  hooks.log = [&events](const LogLine& line) { events.Add(line.event()); };
  std::unique_ptr<InstanceNet> net;
  loop.Run([&] {
    net = *InstanceNet::Create(
        loop.context(),
        {self, port, std::move(seeds), filbertwick::ZoneName("zone")}, hooks);
  });
  return net;
}

}  // namespace

Test(instance_net, sidecar_finds_an_entry_through_a_seed) {
  LoopThread loop;
  EventLog events;
  const uint16_t port = FreePort();
  auto entry = CreateNet(
      loop, events, {{InstanceName("entry"), 1}, true, kEntryHost}, port, {});
  auto sidecar = CreateNet(loop, events,
                           {{InstanceName("sidecar"), 1}, false, kSidecarHost},
                           port, {"127.0.0.9", kEntryHost});
  events.WaitFor("entry knows sidecar");
  loop.Run([&] {
    EntryMessage message;
    message.from = {InstanceName("entry"), 1};
    entry->Send(InstanceName("sidecar"), message);
  });
  events.WaitFor("message of entry");
  events.WaitFor("sidecar knows entry");
  loop.Stop();
}

Test(instance_net, entries_exchange_their_loads_and_handovers) {
  LoopThread loop;
  EventLog events;
  const uint16_t port = FreePort();
  auto first = CreateNet(
      loop, events, {{InstanceName("first"), 1}, true, kEntryHost}, port, {});
  auto second =
      CreateNet(loop, events, {{InstanceName("second"), 1}, true, kSidecarHost},
                port, {kEntryHost});
  events.WaitFor("second in zone at 40");
  loop.Run([&] {
    HandoverMessage message;
    message.from = {InstanceName("first"), 1};
    first->Send(InstanceName("second"), message);
  });
  events.WaitFor("handover of first");
  loop.Stop();
}

Test(instance_net, ignores_datagrams_with_another_version_or_damaged_body) {
  LoopThread loop;
  EventLog events;
  const uint16_t port = FreePort();
  auto entry = CreateNet(
      loop, events, {{InstanceName("entry"), 1}, true, kEntryHost}, port, {});
  boost::asio::io_context context;
  udp::socket socket(context, udp::v4());
  const udp::endpoint to(boost::asio::ip::make_address(kEntryHost), port);
  for (const std::string bytes : {"", "\x01", "\x02garbage", "\xff\xff"}) {
    socket.send_to(boost::asio::buffer(bytes), to);
  }
  events.WaitFor("datagram_unreadable");
  loop.Stop();
}

// A datagram above the limit is a defect of whoever composed it: it is counted
// and reported, and does not count as sent.
Test(instance_net, reports_a_datagram_that_is_too_large) {
  LoopThread loop;
  EventLog events;
  const uint16_t port = FreePort();
  auto entry = CreateNet(
      loop, events, {{InstanceName("entry"), 1}, true, kEntryHost}, port, {});
  loop.Run([&] {
    entry->AddMember({{InstanceName("sidecar"), 1}, false, kSidecarHost});
    EntryMessage message;
    message.from = {InstanceName("entry"), 1};
    cr_assert(entry->Send(InstanceName("sidecar"), message));
    message.offers.resize(1);
    message.offers.front().spec.assign(64 * 1024, 's');
    (void)entry->TakeTraffic();
    cr_assert_not(entry->Send(InstanceName("sidecar"), message));
    const auto traffic = entry->TakeTraffic();
    cr_assert_eq(traffic.datagrams_too_large, 1);
    cr_assert_eq(traffic.datagrams_sent, 0);
    cr_assert_eq(traffic.bytes_sent, 0);
  });
  events.WaitFor("datagram_too_large");
  loop.Stop();
}

// The list of a large fleet is sent in messages of one packet each.
Test(instance_net, sends_a_list_of_1900_members) {
  LoopThread loop;
  EventLog events;
  const uint16_t port = FreePort();
  auto first = CreateNet(
      loop, events, {{InstanceName("first"), 1}, true, kEntryHost}, port, {});
  loop.Run([&] {
    for (int n = 0; n < 1900; ++n) {
      first->AddMember({{InstanceName("sidecar-" + std::to_string(n)), 1},
                        false,
                        "127.0.1.1"});
    }
    (void)first->TakeTraffic();
  });
  auto second =
      CreateNet(loop, events, {{InstanceName("second"), 1}, true, kSidecarHost},
                port, {kEntryHost});
  events.WaitFor("second knows sidecar-0");
  events.WaitFor("second knows sidecar-1899");
  loop.Run([&] {
    const auto traffic = first->TakeTraffic();
    cr_assert_eq(traffic.datagrams_too_large, 0);
    cr_assert_leq(traffic.bytes_sent, traffic.datagrams_sent * 1400);
  });
  loop.Stop();
}
