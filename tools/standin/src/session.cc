#include "session.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <random>
#include <sstream>

#include "cardamomchute/base/log.h"
#include "parser.h"
#include "rows.h"
#include "transaction_control.h"

namespace cardamomchute::standin {
namespace {

constexpr char kTerminate = 'X';
constexpr char kQuery = 'Q';
constexpr char kSync = 'S';
constexpr char kFlush = 'H';
constexpr char kPassword = 'p';

SqlError ProtocolError(const std::string& what) {
  return SqlError{"08P01", what, "FATAL"};
}

/// Applies each "-c name=value" of the startup packet's options.
void ApplySwitches(const std::string& text, SettingsMap* settings) {
  std::istringstream words(text);
  std::string word;
  while (words >> word) {
    if (word == "-c") continue;
    if (word.starts_with("-c") || word.starts_with("--")) word.erase(0, 2);
    size_t equals = word.find('=');
    if (equals == std::string::npos) continue;
    settings->SetDefault(word.substr(0, equals), word.substr(equals + 1));
  }
}

}  // namespace

Session::Session(Connection::Socket socket, Host* host,
                 SessionRegistry* registry, uint32_t pid)
    : connection_(std::move(socket)),
      host_(*host),
      registry_(*registry),
      state_(connection_.socket().get_executor()),
      executor_(host, &state_),
      idle_timer_(connection_.socket().get_executor()) {
  state_.pid = pid;
  state_.secret = std::random_device()();
  state_.on_long_wait = [this](bool begins) {
    if (!begins) return connection_.StopWatch();
    connection_.StartWatch([this] { state_.waiter.Abandon(); });
  };
}

boost::asio::awaitable<void> Session::Run(std::shared_ptr<Session> self) {
  co_await self->RunToEnd();
}

boost::asio::awaitable<void> Session::RunToEnd() {
  bool started = co_await Start();
  if (started) {
    bool open = true;
    while (open) open = co_await Serve();
  }
  portals_.clear();
  RollbackTransaction(host_.member, &state_);
  co_await connection_.Flush();
  connection_.Close();
  registry_.sessions.erase(state_.pid);
}

boost::asio::awaitable<bool> Session::Start() {
  std::optional<pgwire::StartupPacket> packet;
  for (;;) {
    packet = co_await connection_.ReadStartup();
    if (!packet) co_return false;
    bool encryption = packet->code == pgwire::kSslRequestCode ||
                      packet->code == pgwire::kGssEncRequestCode;
    if (!encryption) break;
    connection_.Send("N");
    bool sent = co_await connection_.Flush();
    if (!sent) co_return false;
  }
  if (packet->code == pgwire::kCancelRequestCode) {
    CancelOther(*packet);
    co_return false;
  }
  if (registry_.draining) {
    SendError({"57P03", "the database system is shutting down", "FATAL"});
    co_return false;
  }
  if (registry_.sessions.size() >= registry_.max_connections) {
    SendError({"53300", "sorry, too many clients already", "FATAL"});
    co_return false;
  }
  registry_.sessions[state_.pid] = shared_from_this();
  if (registry_.connect_cost.count() > 0) {
    SteadyTime until =
        std::chrono::steady_clock::now() + registry_.connect_cost;
    SqlResult<void> waited = co_await SleepUntil(&state_.waiter, until);
    if (!waited) co_return false;
  }
  ApplyOptions(*packet);
  SendGreeting();
  co_return co_await connection_.Flush();
}

void Session::CancelOther(const pgwire::StartupPacket& packet) {
  auto found = registry_.sessions.find(packet.cancel_pid);
  if (found == registry_.sessions.end()) return;
  found->second->Cancel(packet.cancel_secret);
}

void Session::Cancel(uint32_t secret) {
  if (secret == state_.secret) state_.waiter.Cancel();
}

void Session::ApplyOptions(const pgwire::StartupPacket& packet) {
  for (const pgwire::StartupPacket::Option& option : packet.options) {
    if (option.key == "user") {
      state_.user = option.value;
    } else if (option.key == "database") {
      state_.database = option.value;
    } else if (option.key == "options") {
      ApplySwitches(option.value, &state_.settings);
    } else if (option.key != "replication") {
      state_.settings.SetDefault(option.key, option.value);
    }
  }
  if (state_.database.empty()) state_.database = state_.user;
  state_.settings.SetDefault("session_authorization", state_.user);
}

void Session::SendGreeting() {
  connection_.Send(pgwire::Builder().Begin('R').Int32(0).End().bytes());
  constexpr const char* kReported[] = {"server_version",
                                       "server_encoding",
                                       "client_encoding",
                                       "application_name",
                                       "default_transaction_read_only",
                                       "DateStyle",
                                       "TimeZone",
                                       "integer_datetimes",
                                       "IntervalStyle",
                                       "is_superuser",
                                       "session_authorization",
                                       "standard_conforming_strings"};
  for (const char* name : kReported) {
    SqlResult<std::string> value = state_.settings.Get(name);
    if (value) connection_.Send(pgwire::ParameterStatus(name, value.value()));
  }
  connection_.Send(pgwire::ParameterStatus(
      "in_hot_standby", host_.member->is_primary() ? "off" : "on"));
  connection_.Send(pgwire::Builder()
                       .Begin('K')
                       .Int32(static_cast<int32_t>(state_.pid))
                       .Int32(static_cast<int32_t>(state_.secret))
                       .End()
                       .bytes());
  SendReady();
}

bool Session::draining_idle() const {
  return registry_.draining && !state_.transaction && !connection_.HasMessage();
}

void Session::Drain() {
  if (reading_ && draining_idle()) connection_.Interrupt();
}

void Session::ArmIdleTimer() {
  idle_timeout_ = false;
  char status = TransactionStatus(state_);
  if (status == 'I') return;
  std::optional<std::chrono::milliseconds> timeout =
      state_.settings.GetTimeout("idle_in_transaction_session_timeout");
  if (!timeout) return;
  idle_timer_.expires_after(*timeout);
  std::weak_ptr<Session> weak = weak_from_this();
  idle_timer_.async_wait([weak](boost::system::error_code failed) {
    std::shared_ptr<Session> self = weak.lock();
    if (failed || !self || !self->reading_) return;
    self->idle_timeout_ = true;
    self->connection_.Interrupt();
  });
}

void Session::SendFarewell() {
  if (idle_timeout_) {
    SendError({"25P03",
               "terminating connection due to idle-in-transaction timeout",
               "FATAL"});
  } else if (draining_idle()) {
    SendError({"57P01", "terminating connection due to administrator command",
               "FATAL"});
  }
}

boost::asio::awaitable<bool> Session::Serve() {
  if (draining_idle()) {
    SendFarewell();
    co_return false;
  }
  ArmIdleTimer();
  reading_ = true;
  std::optional<OwnedMessage> message = co_await connection_.ReadMessage();
  reading_ = false;
  idle_timer_.cancel();
  if (!message) {
    SendFarewell();
    co_return false;
  }
  if (message->type == kTerminate) co_return false;
  bool open = co_await OnMessage(std::move(*message));
  if (open && connection_.WantsFlush()) open = co_await connection_.Flush();
  co_return open && !fatal_;
}

boost::asio::awaitable<bool> Session::OnMessage(OwnedMessage message) {
  if (message.type == kQuery) {
    std::string sql(pgwire::BodyReader(message.body).CString());
    co_return co_await OnQuery(std::move(sql));
  }
  if (message.type == kSync) co_return co_await OnSync();
  if (message.type == kFlush) co_return co_await connection_.Flush();
  if (message.type == kPassword || skip_to_sync_) co_return true;
  SqlResult<void> done = co_await OnExtended(std::move(message));
  SendReports();
  if (done) co_return true;
  SendError(done.error());
  skip_to_sync_ = true;
  portals_.clear();
  FailTransaction(host_.member, &state_);
  co_return done.error().severity != "FATAL";
}

void Session::BeginStatement() {
  state_.waiter.Clear();
  std::optional<std::chrono::milliseconds> timeout =
      state_.settings.GetTimeout("statement_timeout");
  std::optional<SteadyTime> deadline;
  if (timeout) deadline = std::chrono::steady_clock::now() + *timeout;
  state_.waiter.SetDeadline(deadline);
}

boost::asio::awaitable<bool> Session::OnQuery(std::string sql) {
  skip_to_sync_ = false;
  BeginStatement();
  portals_.erase("");
  SqlResult<std::vector<StatementPtr>> parsed = Parse(sql);
  std::optional<SqlError> failed;
  if (!parsed) {
    failed = parsed.error();
  } else if (parsed.value().empty()) {
    connection_.Send(pgwire::Builder().Begin('I').End().bytes());
  } else {
    const std::vector<StatementPtr>& statements = parsed.value();
    for (size_t i = 0; i < statements.size() && !failed; ++i) {
      SqlResult<void> ran =
          co_await RunQuery(statements[i], i + 1 == statements.size());
      if (!ran) failed = ran.error();
    }
  }
  SendReports();
  if (failed) {
    SendError(*failed);
    FailTransaction(host_.member, &state_);
  }
  if (failed && failed->severity == "FATAL") co_return false;
  SendReady();
  if (connection_.HasMessage()) co_return true;
  co_return co_await connection_.Flush();
}

boost::asio::awaitable<SqlResult<void>> Session::RunQuery(
    StatementPtr statement, bool last) {
  SqlResult<Execution> ran = co_await executor_.Run(statement, {});
  SendReports();
  if (!ran) co_return ran.error();
  Execution& execution = ran.value();
  uint64_t rows = 0;
  if (execution.columns) {
    connection_.Send(RowDescription(*execution.columns));
    SqlResult<bool> sent = co_await SendRows(&execution, 0, &rows);
    if (!sent) co_return sent.error();
  }
  bool implicit = state_.transaction && !state_.transaction->block;
  if (last && implicit) {
    SqlResult<void> committed = CommitTransaction(host_.member, &state_);
    if (!committed) co_return committed.error();
  }
  SendReports();
  SendComplete(execution, rows);
  co_return SqlOk();
}

boost::asio::awaitable<SqlResult<bool>> Session::SendRows(Execution* execution,
                                                          uint64_t limit,
                                                          uint64_t* rows) {
  Row row;
  for (uint64_t sent = 0; limit == 0 || sent < limit; ++sent) {
    SqlResult<bool> more = execution->rows(&row);
    if (!more) co_return more.error();
    if (!more.value()) co_return true;
    connection_.Send(DataRow(row));
    ++*rows;
    if (!connection_.WantsFlush()) continue;
    bool flushed = co_await connection_.Flush();
    if (!flushed) co_return ProtocolError("connection is lost");
    if (std::optional<SqlError> e = state_.waiter.Interruption()) co_return *e;
  }
  co_return false;
}

void Session::SendComplete(const Execution& execution, uint64_t rows) {
  std::string tag = execution.tag;
  if (execution.counted) tag += " " + std::to_string(rows);
  connection_.Send(pgwire::CommandComplete(tag));
}

void Session::SendError(const SqlError& error) {
  pgwire::Report report;
  report.severity = error.severity;
  report.sqlstate = error.sqlstate;
  report.message = error.message;
  connection_.Send(pgwire::ErrorResponse(report));
}

void Session::SendReports() {
  connection_.Send(state_.reports);
  state_.reports.clear();
}

void Session::SendReady() {
  connection_.Send(pgwire::ReadyForQuery(TransactionStatus(state_)));
}

}  // namespace cardamomchute::standin
