#include "cardamomchute/callers/caller_server.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "caller_connection.h"
#include "cardamomchute/base/log.h"
#include "cardamomchute/base/tcp_listener.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr size_t kReadBufferBytes = 64 * 1024;
/// Connections beyond the admitted callers: still in startup, or cancelling.
constexpr size_t kMaxUnadmitted = 1000;
constexpr std::chrono::milliseconds kDrainPoll{20};

}  // namespace

class CallerServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(CallerServerParams params)
      : params_(std::move(params)),
        listener_(std::make_shared<TcpListener>(params_.threads.front())),
        timer_(*params_.threads.front()),
        server_(std::make_shared<ServerState>(params_.metrics)) {
    for (size_t i = 0; i < params_.threads.size(); ++i) AddThread(i);
  }

  Status Start() {
    BOOST_OUTCOME_TRYV(listener_->Open(params_.listen, "listen.callers"));
    LogLine(LogLevel::kInfo, "callers_listening")
        .Field("address", ToString(Address{params_.listen.host, port()}));
    asio::post(*params_.threads.front(),
               [self = shared_from_this()] { self->Accept(); });
    return Ok();
  }

  void Drain(Duration timeout, std::function<void()> done) {
    asio::post(*params_.threads.front(), [self = shared_from_this(), timeout,
                                          done = std::move(done)]() mutable {
      self->StartDrain(timeout, std::move(done));
    });
  }

  /// Closes everything. The threads' contexts still exist, run or stopped.
  void Stop() {
    server_->draining = true;
    asio::dispatch(*params_.threads.front(), [self = shared_from_this()] {
      self->listener_->Close();
      self->timer_.cancel();
    });
    ForEachConnection([](CallerConnection* connection) { connection->Cut(); });
  }

  size_t callers() const { return server_->admitted.load(); }
  uint16_t port() const { return listener_->port(); }

 private:
  void AddThread(size_t i) {
    std::shared_ptr<ThreadState> thread = std::make_shared<ThreadState>();
    thread->io = params_.threads[i];
    thread->session.vm = params_.vm;
    thread->session.zone = params_.zone;
    thread->session.open = params_.opener(i);
    thread->session.view = params_.view;
    thread->session.counts = &server_->counts;
    thread->server = server_;
    thread->read_buffer.resize(kReadBufferBytes);
    threads_.push_back(std::move(thread));
  }

  void Accept() {
    if (server_->draining) return;
    std::weak_ptr<Impl> weak = weak_from_this();
    listener_->Start(
        [weak](tcp::socket socket) {
          std::shared_ptr<Impl> self = weak.lock();
          if (self) self->ServeOnItsThread(std::move(socket));
        },
        [this] { return threads_[next_thread_]->io; });
  }

  /// Serves a connection on the thread that its socket belongs to. A drain may
  /// pass on connections in another order than that of the threads.
  void ServeOnItsThread(tcp::socket socket) {
    next_thread_ = (next_thread_ + 1) % threads_.size();
    for (const std::shared_ptr<ThreadState>& thread : threads_) {
      bool same = socket.get_executor() == thread->io->get_executor();
      if (same) return Serve(std::move(socket), thread);
    }
  }

  void Serve(tcp::socket socket, const std::shared_ptr<ThreadState>& thread) {
    size_t unadmitted = server_->sockets - server_->admitted;
    if (unadmitted >= kMaxUnadmitted) {
      LogLine(LogLevel::kInfo, "caller_refused")
          .Field("reason", "too many connections in startup");
      return;
    }
    std::shared_ptr<CallerConnection> connection =
        std::make_shared<CallerConnection>(std::move(socket), thread);
    asio::post(*thread->io, [connection] { connection->Start(); });
  }

  void StartDrain(Duration timeout, std::function<void()> done) {
    server_->draining = true;
    // Who has connected already is told that the VM stops.
    listener_->Drain();
    LogLine(LogLevel::kInfo, "callers_draining")
        .Field("callers", server_->admitted.load());
    ForEachConnection(
        [](CallerConnection* connection) { connection->Leave(); });
    drain_until_ = Now() + timeout;
    drained_ = std::move(done);
    PollDrain();
  }

  void PollDrain() {
    bool over = server_->admitted == 0 || Now() >= drain_until_;
    if (over) {
      LogLine(LogLevel::kInfo, "callers_drained")
          .Field("left_over", server_->admitted.load());
      std::function<void()> done = std::exchange(drained_, nullptr);
      if (done) done();
      return;
    }
    timer_.expires_after(kDrainPoll);
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error) self->PollDrain();
        });
  }

  /// Runs on each connection's own thread; here, when that has stopped.
  void ForEachConnection(const std::function<void(CallerConnection*)>& action) {
    for (const std::shared_ptr<ThreadState>& thread : threads_) {
      auto act = [thread, action] {
        std::vector<std::shared_ptr<CallerConnection>> all(
            thread->connections.begin(), thread->connections.end());
        for (const std::shared_ptr<CallerConnection>& one : all) {
          action(one.get());
        }
      };
      if (thread->io->stopped()) {
        act();
      } else {
        asio::post(*thread->io, act);
      }
    }
  }

  CallerServerParams params_;
  std::shared_ptr<TcpListener> listener_;
  asio::steady_timer timer_;
  std::shared_ptr<ServerState> server_;
  std::vector<std::shared_ptr<ThreadState>> threads_;
  size_t next_thread_ = 0;
  Time drain_until_;
  std::function<void()> drained_;
};

CallerServer::CallerServer(CallerServerParams params)
    : impl_(std::make_shared<Impl>(std::move(params))) {}

CallerServer::~CallerServer() { impl_->Stop(); }

Status CallerServer::Start() { return impl_->Start(); }

void CallerServer::Drain(Duration timeout, std::function<void()> done) {
  impl_->Drain(timeout, std::move(done));
}

size_t CallerServer::callers() const { return impl_->callers(); }

uint16_t CallerServer::port() const { return impl_->port(); }

}  // namespace cardamomchute
