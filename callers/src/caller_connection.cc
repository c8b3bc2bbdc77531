#include "caller_connection.h"

#include <openssl/rand.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cstdio>
#include <utility>

#include "cardamomchute/base/log.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Duration kStartupTimeout = Seconds(20);
/// How long a closed caller may take to read its last error.
constexpr Duration kLingerTimeout = Seconds(2);
/// SSLRequest and GSSENCRequest, each at most this often.
constexpr uint8_t kMaxNegotiations = 4;
/// What all callers' unfinished input may take, and what counts as large.
constexpr size_t kMaxInputBytes = 256 * 1024 * 1024;
constexpr size_t kLargeInputBytes = 1024 * 1024;
constexpr size_t kKeepAliveIdleSeconds = 60;
constexpr size_t kKeepAliveIntervalSeconds = 10;
constexpr size_t kKeepAliveProbes = 3;

uint32_t Random32() {
  uint32_t number = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&number), sizeof number);
  return number;
}

SessionId RandomSession(const VmId& vm) {
  char random[20];
  std::snprintf(random, sizeof random, "-%08x%08x", Random32(), Random32());
  return SessionId(vm.value() + random);
}

void SetOptions(tcp::socket* socket) {
  using KeepIdle =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using KeepInterval =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using KeepCount =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  boost::system::error_code ignored;
  socket->non_blocking(true, ignored);
  socket->set_option(tcp::no_delay(true), ignored);
  socket->set_option(asio::socket_base::keep_alive(true), ignored);
  socket->set_option(KeepIdle(kKeepAliveIdleSeconds), ignored);
  socket->set_option(KeepInterval(kKeepAliveIntervalSeconds), ignored);
  socket->set_option(KeepCount(kKeepAliveProbes), ignored);
}

std::string Authenticated(const AdmittedCaller& admitted,
                          const CancelKey& key) {
  pgwire::Builder greeting;
  greeting.Begin('R').Int32(0).End();
  std::string bytes = greeting.Take();
  for (const pgwire::StartupPacket::Option& parameter : admitted.parameters) {
    bytes += pgwire::ParameterStatus(parameter.key, parameter.value);
  }
  bytes += pgwire::ParameterStatus("cardamomchute.session",
                                   admitted.options.session.value());
  bytes += pgwire::Builder()
               .Begin('K')
               .Int32(static_cast<int32_t>(key.pid))
               .Int32(static_cast<int32_t>(key.secret))
               .End()
               .Take();
  return bytes + pgwire::ReadyForQuery('I');
}

}  // namespace

CallerConnection::CallerConnection(tcp::socket socket,
                                   std::shared_ptr<ThreadState> thread)
    : thread_(std::move(thread)), socket_(std::move(socket)) {
  ++thread_->server->sockets;
}

CallerConnection::~CallerConnection() { --thread_->server->sockets; }

void CallerConnection::Start() {
  thread_->connections.insert(shared_from_this());
  SetOptions(&socket_);
  RunAfter(kStartupTimeout, [this] {
    if (phase_ == Phase::kStartup) Cut();
  });
  WaitToRead();
}

void CallerConnection::WaitToRead() {
  if (waiting_to_read_ || phase_ == Phase::kClosed) return;
  bool welcome = phase_ != Phase::kServing || session_->WantsInput();
  if (!welcome) return;
  waiting_to_read_ = true;
  socket_.async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const boost::system::error_code& error) {
        self->waiting_to_read_ = false;
        if (error) return self->Cut();
        self->OnReadable();
      });
}

void CallerConnection::OnReadable() {
  if (phase_ == Phase::kClosed) return;
  std::vector<char>& buffer = thread_->read_buffer;
  boost::system::error_code error;
  size_t count = socket_.read_some(asio::buffer(buffer), error);
  bool nothing = error == asio::error::would_block ||
                 error == asio::error::try_again ||
                 error == asio::error::interrupted;
  if (error && !nothing) return Cut();
  if (!error) Take(std::string_view(buffer.data(), count));
  WaitToRead();
}

/// Uses new bytes, after those that wait; keeps what can't be used yet.
void CallerConnection::Take(std::string_view bytes) {
  if (phase_ == Phase::kFinishing) return;
  using_ = true;
  if (in_.empty()) {
    size_t used = Use(bytes);
    if (phase_ != Phase::kClosed) in_.assign(bytes.substr(used));
  } else {
    in_.append(bytes);
    size_t used = Use(in_);
    in_.erase(0, used);
  }
  using_ = false;
  if (in_.empty()) std::string().swap(in_);
  CountInput();
}

/// Keeps the input of all callers together within bounds, at the expense of
/// one that holds much of it.
void CallerConnection::CountInput() {
  size_t now = in_.size() + (session_ ? session_->waiting_bytes() : 0);
  if (phase_ == Phase::kClosed) now = 0;
  size_t before = std::exchange(counted_input_, now);
  if (now == before) return;
  size_t all = thread_->server->input += now - before;
  bool too_much = now > before && now >= kLargeInputBytes &&
                  all > kMaxInputBytes && phase_ == Phase::kServing;
  if (!too_much) return;
  LogLine(LogLevel::kWarn, "caller_refused")
      .Field("reason", "input of all callers is above its limit")
      .Field("bytes", now);
  Write(pgwire::ErrorResponse(
      FatalReport("53200", "this VM holds too much unfinished input",
                  "send smaller statements, or try again later")));
  std::string().swap(in_);
  Finish();
}

size_t CallerConnection::Use(std::string_view bytes) {
  size_t used = 0;
  if (phase_ == Phase::kStartup) used = UseStartup(bytes);
  while (phase_ == Phase::kServing && session_->WantsInput()) {
    Result<std::optional<pgwire::MessageView>> next =
        pgwire::NextMessage(bytes.substr(used));
    if (next.has_error()) {
      OnBrokenProtocol(next.error());
      return bytes.size();
    }
    if (!next.value()) return used;
    used += next.value()->whole.size();
    Status taken = session_->OnMessage(*next.value());
    if (taken.has_error()) {
      OnBrokenProtocol(taken.error());
      return bytes.size();
    }
  }
  bool over = phase_ == Phase::kFinishing || phase_ == Phase::kClosed;
  return over ? bytes.size() : used;
}

size_t CallerConnection::UseStartup(std::string_view bytes) {
  size_t used = 0;
  while (phase_ == Phase::kStartup) {
    Result<std::optional<pgwire::StartupPacket>> next =
        pgwire::NextStartup(bytes.substr(used));
    if (next.has_error()) {
      RefuseStartup(FatalReport("08P01", next.error().message,
                                "use a client of PostgreSQL protocol 3"));
      return bytes.size();
    }
    if (!next.value()) return used;
    used += next.value()->size;
    OnStartupPacket(*next.value());
  }
  return used;
}

void CallerConnection::OnStartupPacket(const pgwire::StartupPacket& packet) {
  if (packet.code == pgwire::kCancelRequestCode) return OnCancelRequest(packet);
  bool negotiation = packet.code == pgwire::kSslRequestCode ||
                     packet.code == pgwire::kGssEncRequestCode;
  if (negotiation && ++negotiations_ <= kMaxNegotiations) return Write("N");
  if (negotiation) return Cut();
  ViewPtr view = thread_->session.view();
  size_t callers = thread_->server->admitted.load();
  StartupOutcome outcome =
      JudgeStartup(packet, view ? *view : ClusterView(), callers);
  if (outcome.refusal) return RefuseStartup(*outcome.refusal);
  Admit(std::move(outcome.admitted));
}

void CallerConnection::OnCancelRequest(const pgwire::StartupPacket& packet) {
  CancelKey key{packet.cancel_pid, packet.cancel_secret};
  std::optional<std::weak_ptr<CallerConnection>> found =
      thread_->server->cancels.Find(key);
  LogLine(LogLevel::kDebug, "cancel").Field("known", found.has_value());
  std::shared_ptr<CallerConnection> target = found ? found->lock() : nullptr;
  if (target) {
    asio::post(*target->thread_->io, [target] { target->Cancel(); });
  }
  Finish();
}

void CallerConnection::Admit(AdmittedCaller admitted) {
  if (thread_->server->draining) {
    return RefuseStartup(FatalReport("57P03", "this VM is about to stop",
                                     "connect to another VM"));
  }
  if (admitted.options.session.empty()) {
    admitted.options.session = RandomSession(thread_->session.vm);
  }
  timer_.reset();
  admitted_ = true;
  ++thread_->server->admitted;
  if (thread_->server->callers_gauge) thread_->server->callers_gauge->Add(1);
  cancel_key_ = thread_->server->cancels.Add(weak_from_this(), Random32);
  LogLine(LogLevel::kDebug, "caller_accepted")
      .Field("user", admitted.caller.user)
      .Field("database", admitted.caller.database)
      .Field("application", admitted.caller.application)
      .Field("group", admitted.grant.group)
      .Field("rank", admitted.grant.rank.value() + 1)
      .Field("session", admitted.options.session);
  std::string greeting = Authenticated(admitted, cancel_key_);
  CallerLinks links;
  links.write = [this](std::string_view bytes) { Write(bytes); };
  links.finish = [this] { Finish(); };
  links.cut = [this] { Cut(); };
  links.input_pending = [this] { return !using_ && !in_.empty(); };
  links.run_after = [this](Duration delay, std::function<void()> action) {
    RunAfter(delay, std::move(action));
  };
  session_ = std::make_shared<CallerSession>(
      &thread_->session, std::move(admitted), std::move(links));
  phase_ = Phase::kServing;
  Write(greeting);
}

void CallerConnection::RefuseStartup(const pgwire::Report& report) {
  LogLine(LogLevel::kInfo, "caller_refused")
      .Field("sqlstate", report.sqlstate)
      .Field("reason", report.message);
  Write(pgwire::ErrorResponse(report));
  Finish();
}

void CallerConnection::OnBrokenProtocol(const Error& error) {
  LogLine(LogLevel::kInfo, "caller_broke_protocol")
      .Field("reason", error.message);
  Write(
      pgwire::ErrorResponse(FatalReport("08P01", error.message, error.remedy)));
  Finish();
}

void CallerConnection::Cancel() {
  if (session_) session_->Cancel();
}

void CallerConnection::Leave() {
  if (phase_ == Phase::kStartup) {
    return RefuseStartup(FatalReport("57P03", "this VM is about to stop",
                                     "connect to another VM"));
  }
  if (phase_ != Phase::kServing) return;
  // What has already come is served before the caller is told to leave.
  OnReadable();
  if (phase_ == Phase::kServing) session_->Leave();
}

void CallerConnection::Write(std::string_view bytes) {
  if (phase_ == Phase::kClosed) return;
  out_.append(bytes);
  WriteSoon();
}

/// Writes once the thread has done what it is at, so that what belongs
/// together leaves together.
void CallerConnection::WriteSoon() {
  if (write_posted_ || waiting_to_write_) return;
  write_posted_ = true;
  asio::post(*thread_->io, [self = shared_from_this()] {
    self->write_posted_ = false;
    self->WriteNow();
  });
}

void CallerConnection::WriteNow() {
  if (phase_ == Phase::kClosed || waiting_to_write_ || out_.empty()) return;
  boost::system::error_code error;
  size_t count = socket_.write_some(
      asio::buffer(out_.data() + out_at_, out_.size() - out_at_), error);
  bool full = error == asio::error::would_block ||
              error == asio::error::try_again ||
              error == asio::error::interrupted;
  if (error && !full) return Cut();
  out_at_ += count;
  bool all = out_at_ == out_.size();
  if (all) {
    std::string().swap(out_);
    out_at_ = 0;
  } else {
    waiting_to_write_ = true;
    socket_.async_wait(
        tcp::socket::wait_write,
        [self = shared_from_this()](const boost::system::error_code& failed) {
          self->waiting_to_write_ = false;
          if (failed) return self->Cut();
          self->WriteNow();
        });
  }
  if (session_) session_->OnWritten(count);
  if (phase_ == Phase::kServing && !in_.empty()) Take("");
  CountInput();
  WaitToRead();
  FinishIfWritten();
}

void CallerConnection::Finish() {
  if (phase_ == Phase::kFinishing || phase_ == Phase::kClosed) return;
  phase_ = Phase::kFinishing;
  if (session_) session_->Close();
  RunAfter(kLingerTimeout, [this] { Cut(); });
  FinishIfWritten();
}

/// Ends the sending side, then waits for the caller to close: closing with
/// unread input would take the last bytes back.
void CallerConnection::FinishIfWritten() {
  if (phase_ != Phase::kFinishing || !out_.empty()) return;
  boost::system::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  WaitToRead();
}

void CallerConnection::RunAfter(Duration delay, std::function<void()> action) {
  timer_ = std::make_unique<asio::steady_timer>(*thread_->io);
  timer_->expires_after(std::chrono::milliseconds(delay.ms()));
  timer_->async_wait([self = shared_from_this(), action = std::move(action)](
                         const boost::system::error_code& error) {
    if (!error && self->phase_ != Phase::kClosed) action();
  });
}

void CallerConnection::Cut() {
  if (phase_ == Phase::kClosed) return;
  phase_ = Phase::kClosed;
  // Whoever called still uses this connection until it is done.
  std::shared_ptr<CallerConnection> self = shared_from_this();
  asio::post(*thread_->io, [self] {});
  timer_.reset();
  if (session_) session_->Close();
  boost::system::error_code ignored;
  socket_.close(ignored);
  thread_->connections.erase(self);
  CountInput();
  if (!admitted_) return;
  thread_->server->cancels.Remove(cancel_key_);
  --thread_->server->admitted;
  if (thread_->server->callers_gauge) thread_->server->callers_gauge->Add(-1);
  LogLine(LogLevel::kDebug, "caller_closed").Field("pid", cancel_key_.pid);
}

}  // namespace cardamomchute
