#ifndef FILBERTWICK_UNIT_TESTS_HTTP_FIXTURE_H_
#define FILBERTWICK_UNIT_TESTS_HTTP_FIXTURE_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <functional>
#include <future>
#include <string>
#include <string_view>
#include <thread>

namespace filbertwick::test {

/// An io_context run by a thread of its own, for servers and clients under
/// test.
class LoopThread {
 public:
  LoopThread()
      : guard_(context_.get_executor()), thread_([this] { context_.run(); }) {}
  ~LoopThread() { Stop(); }

  /// Stops the io_context and joins the thread. Objects that use the io_context
  /// may then be destroyed on any thread.
  void Stop() {
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  /// Runs `work` on the thread and waits until it returns.
  void Run(const std::function<void()>& work) {
    std::promise<void> done;
    boost::asio::post(context_, [&] {
      work();
      done.set_value();
    });
    done.get_future().wait();
  }

  boost::asio::io_context& context() { return context_; }

 private:
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::thread thread_;
};

/// A blocking TCP connection to a loopback address.
class RawConnection {
 public:
  explicit RawConnection(uint16_t port, const std::string& host = "127.0.0.1")
      : socket_(context_) {
    socket_.connect({boost::asio::ip::make_address(host), port}, ec_);
  }

  /// Sends all bytes. Errors are ignored, as the server may have closed the
  /// connection.
  void Send(std::string_view bytes) {
    boost::asio::write(socket_, boost::asio::buffer(bytes.data(), bytes.size()),
                       ec_);
  }

  /// Shuts down the sending side; the server reads end of file.
  void ShutdownSend() {
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec_);
  }

  /// Reads until the server closes the connection.
  std::string ReadAll() {
    std::string bytes;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(bytes), ec_);
    return bytes;
  }

  /// Reads exactly `n` bytes, or fewer if the server closes the connection.
  std::string Read(size_t n) {
    std::string bytes(n, '\0');
    bytes.resize(
        boost::asio::read(socket_, boost::asio::buffer(bytes.data(), n), ec_));
    return bytes;
  }

  void Close() { socket_.close(ec_); }

  /// Closes with a reset, which overtakes nothing that was sent before.
  void Reset() {
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ec_);
    socket_.close(ec_);
  }

 private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_;
  boost::system::error_code ec_;
};

}  // namespace filbertwick::test

#endif  // FILBERTWICK_UNIT_TESTS_HTTP_FIXTURE_H_
