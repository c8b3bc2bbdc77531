#include "cardamomchute/callers/caller_server.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "caller_connection.h"
#include "cardamomchute/base/log.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kBacklog = 1024;
constexpr size_t kReadBufferBytes = 64 * 1024;
/// Connections beyond the admitted callers: still in startup, or cancelling.
constexpr size_t kMaxUnadmitted = 1000;
constexpr std::chrono::milliseconds kDrainPoll{20};
constexpr std::chrono::milliseconds kAcceptPause{100};

}  // namespace

class CallerServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(CallerServerParams params)
      : params_(std::move(params)),
        acceptor_(*params_.threads.front()),
        timer_(*params_.threads.front()),
        server_(std::make_shared<ServerState>(params_.metrics)) {
    for (size_t i = 0; i < params_.threads.size(); ++i) AddThread(i);
  }

  Status Start() {
    boost::system::error_code error;
    tcp::endpoint endpoint(asio::ip::make_address(params_.listen.host, error),
                           params_.listen.port);
    if (!error) acceptor_.open(endpoint.protocol(), error);
    if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error) acceptor_.bind(endpoint, error);
    if (!error) acceptor_.listen(kBacklog, error);
    if (error) {
      return Error{ErrorKind::kIo,
                   "can't listen for callers on " + ToString(params_.listen) +
                       ": " + error.message(),
                   "set listen.callers to a free address of this VM"};
    }
    port_ = acceptor_.local_endpoint().port();
    LogLine(LogLevel::kInfo, "callers_listening")
        .Field("address", ToString(Address{params_.listen.host, port_}));
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
      boost::system::error_code ignored;
      self->acceptor_.close(ignored);
      self->timer_.cancel();
    });
    ForEachConnection([](CallerConnection* connection) { connection->Cut(); });
  }

  size_t callers() const { return server_->admitted.load(); }
  uint16_t port() const { return port_; }

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
    if (!acceptor_.is_open()) return;
    std::shared_ptr<ThreadState> thread = threads_[next_thread_];
    next_thread_ = (next_thread_ + 1) % threads_.size();
    acceptor_.async_accept(
        *thread->io,
        [self = shared_from_this(), thread](
            const boost::system::error_code& error, tcp::socket socket) {
          self->OnAccept(error, std::move(socket), thread);
        });
  }

  void OnAccept(const boost::system::error_code& error, tcp::socket socket,
                const std::shared_ptr<ThreadState>& thread) {
    if (!acceptor_.is_open()) return;
    if (error) return PauseAccept(error);
    Serve(std::move(socket), thread);
    Accept();
  }

  /// Out of descriptors or the like: accepting again at once would spin.
  void PauseAccept(const boost::system::error_code& error) {
    LogLine(LogLevel::kWarn, "accept_failed").Field("reason", error.message());
    timer_.expires_after(kAcceptPause);
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& failed) {
          if (!failed) self->Accept();
        });
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
    AcceptWaiting();
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    LogLine(LogLevel::kInfo, "callers_draining")
        .Field("callers", server_->admitted.load());
    ForEachConnection(
        [](CallerConnection* connection) { connection->Leave(); });
    drain_until_ = Now() + timeout;
    drained_ = std::move(done);
    PollDrain();
  }

  /// Takes who has connected already, to tell them that the VM stops.
  void AcceptWaiting() {
    boost::system::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
      const std::shared_ptr<ThreadState>& thread = threads_.front();
      tcp::socket socket(*thread->io);
      acceptor_.accept(socket, error);
      if (!error) Serve(std::move(socket), thread);
    }
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
  tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  std::shared_ptr<ServerState> server_;
  std::vector<std::shared_ptr<ThreadState>> threads_;
  size_t next_thread_ = 0;
  uint16_t port_ = 0;
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
