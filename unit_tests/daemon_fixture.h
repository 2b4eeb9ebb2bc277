#ifndef FILBERTWICK_UNIT_TESTS_DAEMON_FIXTURE_H_
#define FILBERTWICK_UNIT_TESTS_DAEMON_FIXTURE_H_

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <iterator>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "filbertwick/daemon/daemon.h"
#include "filbertwick/http/client.h"
#include "filbertwick/http/server.h"
#include "filbertwick/http/target.h"
#include "filbertwick/platform/log_protocol.h"
#include "filbertwick/wire/record_batch.h"

namespace filbertwick::daemon {

/// What stands around the daemons of a test, on a thread of its own: a log
/// service without faults, and executors that answer with their payload.
class Platform {
 public:
  Platform()
      : work_(boost::asio::make_work_guard(context_)),
        log_(Listen([this](const http::Request& request,
                           const http::Responder& respond) {
          HandleLog(request, respond);
        })) {
    thread_ = std::thread([this] { context_.run(); });
  }
  ~Platform() {
    context_.stop();
    thread_.join();
  }
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  uint16_t log_port() const { return log_->port(); }

  /// Starts an executor that ends each task after `run_time`; its port.
  uint16_t AddExecutor(Duration run_time) {
    executors_.push_back(Listen([this, run_time](const http::Request& request,
                                                 const http::Responder& hook) {
      HandleTask(request, run_time, hook);
    }));
    return executors_.back()->port();
  }

  /// How often each task was started, by target without query.
  std::map<std::string, int> starts() {
    std::lock_guard lock(mutex_);
    return starts_;
  }

 private:
  /// A read that waits for records.
  struct Reader {
    uint64_t from = 0;
    http::Responder respond;
  };

  std::unique_ptr<http::Server> Listen(http::Handler handler) {
    auto server = http::Server::Create(context_, {}, std::move(handler));
    cr_assert(server.ok());
    return *std::move(server);
  }

  void HandleLog(const http::Request& request, const http::Responder& respond) {
    if (request.method == "GET") {
      const auto target = http::Target::Parse(request.target);
      readers_.push_back({target.FindNumber("from").value_or(0), respond});
      WaitForRecords(std::prev(readers_.end()),
                     target.FindNumber("wait_ms").value_or(0));
      return;
    }
    http::Response response;
    response.headers.push_back(
        {std::string(platform::kFirstHeader), std::to_string(records_.size())});
    auto batch = wire::DecodeBatch(request.body);
    cr_assert(batch.ok());
    std::ranges::move(*batch, std::back_inserter(records_));
    respond(std::move(response));
    WakeReaders();
  }

  void WaitForRecords(std::list<Reader>::iterator reader, uint64_t millis) {
    if (reader->from < records_.size() || millis == 0) {
      WakeReaders();
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        context_, std::chrono::milliseconds(millis));
    timer->async_wait([this, timer, respond = reader->respond](
                          const boost::system::error_code&) {
      // A second response to one request is ignored by the server.
      respond(ReadFrom(records_.size()));
    });
  }

  void WakeReaders() {
    std::erase_if(readers_, [this](const Reader& reader) {
      if (reader.from >= records_.size()) {
        return false;
      }
      reader.respond(ReadFrom(reader.from));
      return true;
    });
  }

  http::Response ReadFrom(uint64_t from) const {
    http::Response response;
    response.headers = {
        {std::string(platform::kFirstHeader), std::to_string(from)},
        {std::string(platform::kHeadHeader), std::to_string(records_.size())}};
    response.body = wire::EncodeBatch(
        {records_.begin() + static_cast<ptrdiff_t>(from), records_.end()});
    return response;
  }

  void HandleTask(const http::Request& request,
                  Duration run_time,
                  const http::Responder& respond) {
    if (request.method != "POST") {
      respond({});
      return;
    }
    {
      std::lock_guard lock(mutex_);
      ++starts_[request.target.substr(0, request.target.find('?'))];
    }
    auto timer =
        std::make_shared<boost::asio::steady_timer>(context_, run_time);
    timer->async_wait([timer, respond,
                       body = request.body](const boost::system::error_code&) {
      http::Response response;
      response.body = "did " + body;
      respond(std::move(response));
    });
  }

  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::vector<std::string> records_;
  std::list<Reader> readers_;
  std::mutex mutex_;
  std::map<std::string, int> starts_;
  std::unique_ptr<http::Server> log_;
  std::vector<std::unique_ptr<http::Server>> executors_;
  std::thread thread_;
};

}  // namespace filbertwick::daemon

#endif  // FILBERTWICK_UNIT_TESTS_DAEMON_FIXTURE_H_
