#include "filbertwick/net/instance_net.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <ranges>
#include <set>
#include <utility>

#include "filbertwick/base/time.h"
#include "filbertwick/net/datagram_port.h"
#include "filbertwick/wire/archive.h"

namespace filbertwick::net {
namespace {

namespace asio = boost::asio;
using core::direct::Datagram;
using core::direct::EntryMessage;
using core::direct::HandoverMessage;
using core::direct::Member;
using core::direct::MembershipMessage;
using core::direct::SidecarMessage;
using Udp = asio::ip::udp;

/// Interval between two gossip rounds. The loss of a MembershipMessage delays
/// its information by this interval.
constexpr Duration kGossipInterval = std::chrono::milliseconds(500);
/// A sidecar that has received no EntryMessage for this long sends a
/// MembershipMessage to the seeds and the entries that it knows.
constexpr Duration kEntrySilenceTimeout = std::chrono::milliseconds(1500);
/// Size of the members in one MembershipMessage, in bytes, so that it fits into
/// one packet. A single member may exceed it.
constexpr size_t kMembersBytes = 1100;

}  // namespace

class InstanceNet::Impl
    : public std::enable_shared_from_this<InstanceNet::Impl> {
 public:
  Impl(asio::io_context& context,
       InstanceNetSettings settings,
       InstanceNetHooks hooks)
      : timer_(context),
        settings_(std::move(settings)),
        hooks_(std::move(hooks)) {
    members_.Add(settings_.self, true);
  }

  absl::Status Open(asio::io_context& context) {
    auto port = DatagramPort::Create(
        context, settings_.self.host, settings_.port,
        {[this](const Udp::endpoint& from, std::string_view bytes) {
           HandleDatagram(from, bytes);
         },
         [this](bool more_left) { hooks_.batch_ended(more_left); }});
    if (!port.ok()) {
      return port.status();
    }
    port_ = *std::move(port);
    return absl::OkStatus();
  }

  /// Stops all traffic. The timer's handler does nothing once there is no port.
  void Close() { port_.reset(); }

  bool Send(const InstanceName& to, const Datagram& datagram) {
    const Member* member = members_.Find(to);
    return member != nullptr && SendToHost(member->host, datagram);
  }

  void AddMember(const Member& member, bool self_reported) {
    if (member.peer.name == settings_.self.peer.name ||
        !members_.Add(member, self_reported)) {
      return;
    }
    hooks_.log(
        LogLine("member_found")
            .Add("member", member.peer.name.value())
            .Add("host", member.host)
            .Add("incarnation", static_cast<int64_t>(member.peer.incarnation)));
    hooks_.member_found(member);
  }

  void RunGossipRound() {
    SendGossip();
    timer_.expires_after(kGossipInterval);
    timer_.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
      const auto self = weak.lock();
      if (!ec && self && self->port_) {
        self->RunGossipRound();
      }
    });
  }

  void SetSeeds(std::vector<std::string> seeds) {
    settings_.seeds = std::move(seeds);
  }
  void SetControlPosition(const core::direct::ControlPosition& position) {
    control_position_ = position;
  }
  const core::direct::Membership& members() const { return members_; }
  InstanceTraffic TakeTraffic() { return std::exchange(traffic_, {}); }

 private:
  /// Returns false when the datagram was not sent.
  bool SendToHost(const std::string& host, const Datagram& datagram) {
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(host, ec);
    const std::string bytes = core::direct::EncodeDatagram(datagram);
    if (bytes.size() > core::direct::kMaxDatagramBytes) {
      // Whoever composes a message keeps to the limit, so this is a defect.
      ++traffic_.datagrams_too_large;
      LogNotSent("datagram_too_large", host, datagram, bytes.size());
      return false;
    }
    if (ec || !port_->Send(Udp::endpoint(address, settings_.port), bytes)) {
      ++traffic_.datagrams_refused;
      LogNotSent("datagram_not_sent", host, datagram, bytes.size());
      return false;
    }
    ++traffic_.datagrams_sent;
    traffic_.bytes_sent += bytes.size();
    return true;
  }

  void LogNotSent(std::string_view event,
                  const std::string& host,
                  const Datagram& datagram,
                  size_t bytes) const {
    hooks_.log(LogLine(event)
                   .Add("host", host)
                   .Add("kind", core::direct::KindOf(datagram))
                   .Add("bytes", static_cast<int64_t>(bytes)));
  }

  void HandleDatagram(const Udp::endpoint& from, std::string_view bytes) {
    ++traffic_.datagrams_received;
    traffic_.bytes_received += bytes.size();
    auto datagram = core::direct::DecodeDatagram(bytes);
    if (!datagram.ok()) {
      hooks_.log(LogLine("datagram_unreadable")
                     .Add("host", from.address().to_string())
                     .AddCause(datagram.status()));
      return;
    }
    const std::string host = from.address().to_string();
    std::visit([&](auto& message) { HandleDatagram(host, message); },
               *datagram);
  }

  void HandleDatagram(const std::string& host, EntryMessage& message) {
    last_entry_message_time_ = MonotonicClock::now();
    AddMember({message.from, true, host}, true);
    hooks_.control_position_received(host, message.control);
    hooks_.entry_message(std::move(message));
  }

  void HandleDatagram(const std::string& host, SidecarMessage& message) {
    const Duration echo =
        MonotonicClock::now() - FromMicros(message.echoed_sent_at);
    traffic_.shortest_echo =
        std::min(traffic_.shortest_echo.value_or(echo), echo);
    AddMember({message.from, false, host}, true);
    hooks_.control_position_received(host, message.control);
    hooks_.sidecar_message(std::move(message));
  }

  void HandleDatagram(const std::string& host, HandoverMessage& message) {
    AddMember({message.from, true, host}, true);
    hooks_.handover_message(std::move(message));
  }

  void HandleDatagram(const std::string& host, MembershipMessage& message) {
    message.self.host = host;
    AddMember(message.self, true);
    if (message.self.is_entry) {
      hooks_.entry_load(message.self.peer, message.zone, message.load);
    }
    for (const Member& member : message.members) {
      AddMember(member, false);
    }
    hooks_.control_position_received(host, message.control);
    if (message.wants_members && message.digest != members_.digest()) {
      SendMembers(host);
    }
  }

  MembershipMessage MakeMembershipMessage() const {
    MembershipMessage message;
    message.self = settings_.self;
    if (settings_.self.is_entry) {
      message.zone = settings_.zone;
      message.load = hooks_.own_load();
    }
    message.control = control_position_;
    message.digest = members_.digest();
    return message;
  }

  void SendMembers(const std::string& host) {
    MembershipMessage message = MakeMembershipMessage();
    size_t bytes = 0;
    for (const Member& member : members_.all() | std::views::values) {
      const size_t member_bytes = wire::EncodedSize(member);
      if (!message.members.empty() && bytes + member_bytes > kMembersBytes) {
        SendToHost(host, message);
        message.members.clear();
        bytes = 0;
      }
      message.members.push_back(member);
      bytes += member_bytes;
    }
    SendToHost(host, message);
  }

  void SendGossip() {
    const bool is_entry = settings_.self.is_entry;
    if (!is_entry && MonotonicClock::now() - last_entry_message_time_ <
                         kEntrySilenceTimeout) {
      return;
    }
    std::set<std::string> hosts(settings_.seeds.begin(), settings_.seeds.end());
    for (const Member& member : members_.all() | std::views::values) {
      if (member.is_entry) {
        hosts.insert(member.host);
      }
    }
    hosts.erase(settings_.self.host);
    MembershipMessage message = MakeMembershipMessage();
    message.wants_members = is_entry;
    for (const std::string& host : hosts) {
      SendToHost(host, message);
    }
  }

  asio::steady_timer timer_;
  InstanceNetSettings settings_;
  const InstanceNetHooks hooks_;
  core::direct::Membership members_;
  core::direct::ControlPosition control_position_;
  std::unique_ptr<DatagramPort> port_;
  Instant last_entry_message_time_;
  InstanceTraffic traffic_;
};

InstanceNet::InstanceNet(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

InstanceNet::~InstanceNet() {
  impl_->Close();
}

absl::StatusOr<std::unique_ptr<InstanceNet>> InstanceNet::Create(
    asio::io_context& context,
    InstanceNetSettings settings,
    InstanceNetHooks hooks) {
  auto impl =
      std::make_shared<Impl>(context, std::move(settings), std::move(hooks));
  if (absl::Status status = impl->Open(context); !status.ok()) {
    return status;
  }
  impl->RunGossipRound();
  return std::unique_ptr<InstanceNet>(new InstanceNet(std::move(impl)));
}

bool InstanceNet::Send(const InstanceName& to, const Datagram& datagram) {
  return impl_->Send(to, datagram);
}
void InstanceNet::AddMember(const Member& member) {
  impl_->AddMember(member, false);
}
void InstanceNet::SetSeeds(std::vector<std::string> seeds) {
  impl_->SetSeeds(std::move(seeds));
}
void InstanceNet::SetControlPosition(
    const core::direct::ControlPosition& position) {
  impl_->SetControlPosition(position);
}
const core::direct::Membership& InstanceNet::members() const {
  return impl_->members();
}
InstanceTraffic InstanceNet::TakeTraffic() {
  return impl_->TakeTraffic();
}

}  // namespace filbertwick::net
