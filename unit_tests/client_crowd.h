#ifndef FILBERTWICK_UNIT_TESTS_CLIENT_CROWD_H_
#define FILBERTWICK_UNIT_TESTS_CLIENT_CROWD_H_

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bench/live/child_process.h"
#include "filbertwick/base/time.h"

namespace filbertwick::test {

inline constexpr size_t kKilobyte = 1024;
inline constexpr size_t kMegabyte = 1024 * kKilobyte;

/// Loopback address `n` of this test, in a network of its own.
inline std::string HostOf(int n) {
  const int pid = getpid();
  return fmt::format("127.{}.{}.{}", 64 + pid % 128, pid / 128 % 250, n);
}

/// What a process holds, as the platform counts it.
struct Holdings {
  /// Resident memory, and bytes received on its sockets and not yet read.
  size_t memory_bytes = 0;
  size_t sockets = 0;
};

/// A process of the system under test. Its holdings are sampled; the peak of
/// its resident memory is exact.
class TestProcess {
 public:
  /// Starts `command`; `host` is the address of all its listeners.
  TestProcess(const std::vector<std::string>& command,
              std::string host,
              const std::string& log)
      : host_(std::move(host)) {
    auto process = bench::ChildProcess::StartLogged(command, log);
    cr_assert(process.ok(), "%s", command[0].c_str());
    process_ = *std::move(process);
  }

  const std::string& host() const { return host_; }
  bool IsRunning() { return !process_->Poll(); }

  /// Adds the present holdings to the peaks.
  void Sample() {
    peaks_.memory_bytes = std::max({peaks_.memory_bytes, ReadMemory("VmHWM:"),
                                    ReadMemory("VmRSS:") + CountUnreadBytes()});
    peaks_.sockets = std::max(peaks_.sockets, CountSockets());
  }
  const Holdings& peaks() const { return peaks_; }

 private:
  std::string ProcFile(std::string_view name) const {
    return fmt::format("/proc/{}/{}", process_->pid(), name);
  }

  /// Reads a field of /proc/PID/status that is given in kilobytes.
  size_t ReadMemory(std::string_view field) const {
    std::ifstream status(ProcFile("status"));
    std::string word;
    size_t kilobytes = 0;
    while (status >> word && word != field) {
    }
    status >> kilobytes;
    return kilobytes * kKilobyte;
  }

  size_t CountSockets() const {
    std::error_code ec;
    size_t sockets = 0;
    for (const auto& file :
         std::filesystem::directory_iterator(ProcFile("fd"), ec)) {
      const auto target = std::filesystem::read_symlink(file.path(), ec);
      sockets += target.string().starts_with("socket:") ? 1 : 0;
    }
    return sockets;
  }

  /// Sums the receive queues of the connections at the process's address.
  size_t CountUnreadBytes() const {
    constexpr std::string_view kListening = "0A";
    std::array<unsigned, 4> bytes = {};
    std::sscanf(host_.c_str(), "%u.%u.%u.%u", &bytes[0], &bytes[1], &bytes[2],
                &bytes[3]);
    const std::string address = fmt::format(
        "{:02X}{:02X}{:02X}{:02X}:", bytes[3], bytes[2], bytes[1], bytes[0]);
    std::ifstream table("/proc/net/tcp");
    std::string line;
    size_t unread = 0;
    while (std::getline(table, line)) {
      std::istringstream fields(line);
      std::string number, local, remote, state, queues;
      fields >> number >> local >> remote >> state >> queues;
      if (local.starts_with(address) && state != kListening) {
        unread += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
      }
    }
    return unread;
  }

  const std::string host_;
  std::unique_ptr<bench::ChildProcess> process_;
  Holdings peaks_;
};

/// What each client of a crowd sends: a head, blocks and a tail.
struct ClientScript {
  std::string head;
  std::string block;
  size_t blocks = 0;
  std::string tail;
  /// Whether the client reads what the process answers.
  bool reads_answers = true;
};

/// Clients that connect at the same time, send their script as fast as the
/// process takes it, and keep their connections open.
class Crowd {
 public:
  Crowd(TestProcess& target, uint16_t port, size_t clients)
      : target_(target), timer_(context_) {
    const boost::asio::ip::tcp::endpoint endpoint(
        boost::asio::ip::make_address(target.host()), port);
    for (size_t n = 0; n < clients; ++n) {
      clients_.push_back(std::make_unique<Client>(context_));
      boost::system::error_code ec;
      clients_.back()->socket.connect(endpoint, ec);
    }
  }

  /// Sends the script on all connections, until each has sent it, is closed or
  /// is no longer read from, and the process has settled. Samples the holdings
  /// of the process meanwhile.
  /// `script_of` is called with the number of each client.
  void Send(const std::function<ClientScript(size_t)>& script_of) {
    for (size_t n = 0; n < clients_.size(); ++n) {
      Client& client = *clients_[n];
      client.script = script_of(n);
      SendPart(client, client.script.head);
      if (client.script.reads_answers) {
        Read(client);
      }
    }
    SampleUntilSettled();
    context_.run();
  }
  void Send(const ClientScript& script) {
    Send([&](size_t) { return script; });
  }

 private:
  struct Client {
    explicit Client(boost::asio::io_context& context) : socket(context) {}
    boost::asio::ip::tcp::socket socket;
    ClientScript script;
    size_t blocks_sent = 0;
    bool tail_sent = false;
    std::array<char, 4 * kKilobyte> input = {};
  };
  static constexpr Duration kSampleInterval = std::chrono::milliseconds(20);
  /// The process has read all that it takes when no client could send for this
  /// long.
  static constexpr Duration kSettleTime = std::chrono::seconds(2);

  void SendPart(Client& client, const std::string& part) {
    boost::asio::async_write(
        client.socket, boost::asio::buffer(part),
        [this, &client](boost::system::error_code ec, size_t) {
          has_progress_ = true;
          SendNext(client, ec);
        });
  }

  void SendNext(Client& client, boost::system::error_code ec) {
    if (!ec && client.blocks_sent < client.script.blocks) {
      ++client.blocks_sent;
      SendPart(client, client.script.block);
    } else if (!ec && !std::exchange(client.tail_sent, true) &&
               !client.script.tail.empty()) {
      SendPart(client, client.script.tail);
    }
  }

  void Read(Client& client) {
    client.socket.async_read_some(
        boost::asio::buffer(client.input),
        [this, &client](boost::system::error_code ec, size_t) {
          if (!ec) {
            Read(client);
          }
        });
  }

  void SampleUntilSettled() {
    target_.Sample();
    const Instant now = MonotonicClock::now();
    if (std::exchange(has_progress_, false)) {
      progress_at_ = now;
    }
    if (now - progress_at_ >= kSettleTime) {
      context_.stop();
      return;
    }
    timer_.expires_after(kSampleInterval);
    timer_.async_wait(
        [this](boost::system::error_code) { SampleUntilSettled(); });
  }

  TestProcess& target_;
  boost::asio::io_context context_;
  boost::asio::steady_timer timer_;
  std::vector<std::unique_ptr<Client>> clients_;
  bool has_progress_ = true;
  Instant progress_at_;
};

}  // namespace filbertwick::test

#endif  // FILBERTWICK_UNIT_TESTS_CLIENT_CROWD_H_
