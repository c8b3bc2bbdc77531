#include "caller.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

#include "cardamomchute/base/time.h"
#include "load_sql.h"
#include "outcome.h"

namespace cardamomchute::loadgen {
namespace {

using history::Operation;
using history::OperationKind;
using history::Outcome;

constexpr std::chrono::milliseconds kFirstBackoff(20);
constexpr std::chrono::milliseconds kLongestBackoff(500);
constexpr double kRollbackShare = 0.25;
constexpr double kReadPairShare = 0.2;
constexpr double kReadOtherShare = 0.5;
constexpr int kKeyedTries = 20;

uint64_t ParseSeen(const std::optional<std::string>& text) {
  uint64_t n = 0;
  if (!text) return 0;
  std::from_chars(text->data(), text->data() + text->size(), n);
  return n;
}

void Settle(const Answer& answer, Operation* operation) {
  operation->outcome = OutcomeOf(answer);
  operation->sqlstate = StateOf(answer);
}

}  // namespace

Caller::Caller(boost::asio::any_io_executor executor, LoadState* state,
               size_t rank, size_t index)
    : state_(*state),
      options_(*state->options),
      spec_(options_.ranks[rank]),
      totals_(*state->result->ranks[rank]),
      random_(options_.seed * 1000003 + index),
      client_(executor),
      pause_(executor),
      session_(options_.run + ".s" + std::to_string(index)),
      session_key_(options_.run + "/s/" + std::to_string(index)),
      entry_(index % options_.entries.size()),
      backoff_(kFirstBackoff) {}

double Caller::Chance() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

size_t Caller::Pick(size_t count) {
  return std::uniform_int_distribution<size_t>(0, count - 1)(random_);
}

std::string Caller::Token(const Operation& operation) const {
  return "token-" + operation.id;
}

boost::asio::awaitable<Answer> Caller::Query(std::string sql) {
  co_return co_await client_.Query(std::move(sql), options_.timeout);
}

OperationKind Caller::ChooseKind() {
  if (Chance() < spec_.reads) {
    return Chance() < kReadPairShare ? Kind::kReadPair : Kind::kRead;
  }
  if (Chance() >= spec_.transactions) return Kind::kWrite;
  return Chance() < kRollbackShare ? Kind::kRollback : Kind::kTransaction;
}

Operation Caller::Begin() {
  Operation o;
  o.kind = ChooseKind();
  o.id = options_.run + "." + std::to_string(++state_.last_operation);
  o.session = session_;
  o.rank = spec_.name;
  o.staleness_ms = spec_.staleness_ms;
  o.key = session_key_;
  if (o.kind == Kind::kRead && Chance() < kReadOtherShare) {
    o.key = state_.session_keys[Pick(state_.session_keys.size())];
  }
  if (o.kind == Kind::kWrite) o.written = ++sequence_;
  bool of_pair = o.kind != Kind::kRead && o.kind != Kind::kWrite;
  if (of_pair) {
    o.key = options_.run + "/t/" + std::to_string(Pick(options_.pairs));
  }
  o.started = NowMicros();
  return o;
}

void Caller::End(Operation* o) {
  constexpr double kMicrosPerMilli = 1000;
  o->ended = NowMicros();
  int64_t taken = o->ended - o->started;
  ++totals_.offered;
  if (!o->sqlstate.empty()) ++state_.result->errors[o->sqlstate];
  if (o->outcome == Outcome::kOk) {
    ++totals_.ok;
    totals_.latency.Record(taken);
    double millis = static_cast<double>(taken) / kMicrosPerMilli;
    bool late = spec_.target_ms > 0 && millis > spec_.target_ms;
    if (!late) ++totals_.in_time;
  }
  if (o->outcome == Outcome::kNotRun) ++totals_.not_run;
  if (o->outcome == Outcome::kFailed) ++totals_.failed;
  if (o->outcome == Outcome::kUnknown) ++totals_.unknown;
  bool acknowledged =
      o->outcome == Outcome::kOk &&
      (o->kind == Kind::kWrite || o->kind == Kind::kTransaction);
  if (acknowledged) {
    std::chrono::milliseconds gap((o->ended - state_.last_acknowledged) /
                                  static_cast<int64_t>(kMicrosPerMilli));
    std::chrono::milliseconds& longest = state_.result->longest_gap;
    longest = std::max(longest, gap);
    state_.last_acknowledged = o->ended;
  }
  state_.result->history.operations.push_back(std::move(*o));
}

boost::asio::awaitable<void> Caller::Run() {
  next_due_ = std::chrono::steady_clock::now();
  co_await Pause();
  while (!state_.stopping) {
    Operation operation = Begin();
    co_await Operate(&operation);
    bool refused = operation.outcome == Outcome::kNotRun;
    End(&operation);
    if (refused && !client_.StillOpen()) {
      pause_.expires_after(backoff_);
      backoff_ = std::min(backoff_ * 2, kLongestBackoff);
      boost::system::error_code ignored;
      co_await pause_.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    } else {
      backoff_ = kFirstBackoff;
    }
    if (Chance() < options_.roam) Roam();
    co_await Pause();
  }
  client_.Close();
}

void Caller::Roam() {
  client_.Close();
  entry_ = Pick(options_.entries.size());
}

boost::asio::awaitable<void> Caller::Pause() {
  double mean_ms = spec_.think_ms;
  if (spec_.rate > 0) {
    mean_ms = 1000.0 * static_cast<double>(spec_.callers) / spec_.rate;
  }
  if (mean_ms <= 0 || state_.stopping) co_return;
  std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
  std::chrono::microseconds pause(
      static_cast<int64_t>(mean_ms * 1000 * (0.5 + Chance())));
  // At a rate, a late answer shortens the pause that follows it.
  bool keeps_pace = spec_.rate > 0 && now - next_due_ < pause;
  next_due_ = (keeps_pace ? next_due_ : now) + pause;
  pause_.expires_at(next_due_);
  boost::system::error_code ignored;
  co_await pause_.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

boost::asio::awaitable<bool> Caller::EnsureConnected(Operation* operation) {
  if (client_.StillOpen()) co_return true;
  std::vector<pgwire::StartupPacket::Option> startup = {
      {"user", options_.user},
      {"database", options_.database},
      {"application_name", spec_.name}};
  if (spec_.staleness_ms >= 0) {
    startup.push_back(
        {"cardamomchute.max_staleness_ms", std::to_string(spec_.staleness_ms)});
  }
  if (!client_.floor().empty()) floor_ = client_.floor();
  bool hands_over = !floor_.empty() && Chance() < options_.hand_over;
  if (hands_over) {
    startup.push_back({"cardamomchute.session", session_});
    startup.push_back({"cardamomchute.floor", floor_});
  }
  Answer answer = co_await client_.Connect(options_.entries[entry_], startup,
                                           options_.timeout);
  if (answer.ok()) co_return true;
  operation->outcome = Outcome::kNotRun;
  operation->sqlstate = answer.error ? answer.error->sqlstate : "connect";
  entry_ = Pick(options_.entries.size());
  co_return false;
}

boost::asio::awaitable<void> Caller::Operate(Operation* operation) {
  bool connected = co_await EnsureConnected(operation);
  if (!connected) co_return;
  switch (operation->kind) {
    case Kind::kWrite:
      co_await Write(operation);
      break;
    case Kind::kRead:
      co_await Read(operation);
      break;
    case Kind::kReadPair:
      co_await ReadPair(operation);
      break;
    case Kind::kTransaction:
    case Kind::kRollback:
      co_await Transact(operation);
      break;
  }
  if (operation->outcome == Outcome::kUnknown) Roam();
}

/// Each returned row begins with the token that was asked for.
void Caller::CheckToken(const Answer& answer, size_t rows,
                        Operation* operation) {
  if (!answer.ok()) return;
  std::string token = Token(*operation);
  bool right = answer.rows.size() == rows;
  for (const AnswerRow& row : answer.rows) {
    right = right && !row.empty() && row[0] == token;
  }
  if (!right) operation->misdelivered = true;
}

boost::asio::awaitable<void> Caller::Write(Operation* operation) {
  std::string sql = WriteSql(options_.run, operation->id, session_key_,
                             operation->written, Token(*operation));
  bool keyed = Chance() < options_.operation_key;
  co_await WriteOnce(operation, sql, keyed);
  if (!keyed) co_return;
  // A retry under the same key is safe at any entry.
  for (int tries = 0; tries < kKeyedTries; ++tries) {
    if (operation->outcome != Outcome::kUnknown) co_return;
    Roam();
    Operation retry = *operation;
    bool connected = co_await EnsureConnected(&retry);
    if (!connected) {
      pause_.expires_after(kFirstBackoff);
      boost::system::error_code ignored;
      co_await pause_.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
      continue;
    }
    co_await WriteOnce(&retry, sql, keyed);
    operation->misdelivered |= retry.misdelivered;
    // A refused retry says nothing of the first try.
    if (retry.outcome != Outcome::kOk) continue;
    operation->outcome = Outcome::kOk;
    operation->sqlstate = retry.sqlstate;
  }
}

boost::asio::awaitable<void> Caller::WriteOnce(Operation* operation,
                                               const std::string& sql,
                                               bool keyed) {
  if (keyed) {
    Answer set = co_await Query(SetOperationKeySql(operation->id));
    if (!set.ok()) {
      Settle(set, operation);
      operation->outcome = Outcome::kNotRun;
      co_return;
    }
  }
  constexpr size_t kRowsWritten = 2;
  Answer answer = co_await Query(sql);
  Settle(answer, operation);
  CheckToken(answer, kRowsWritten, operation);
}

boost::asio::awaitable<void> Caller::Read(Operation* operation) {
  Answer answer = co_await Query(ReadSql(operation->key, Token(*operation)));
  Settle(answer, operation);
  CheckToken(answer, 1, operation);
  bool whole =
      answer.ok() && answer.rows.size() == 1 && answer.rows[0].size() == 2;
  if (whole) operation->seen = ParseSeen(answer.rows[0][1]);
}

boost::asio::awaitable<void> Caller::ReadPair(Operation* operation) {
  constexpr size_t kColumns = 4;
  Answer answer =
      co_await Query(ReadPairSql(operation->key, Token(*operation)));
  Settle(answer, operation);
  CheckToken(answer, 1, operation);
  bool whole = answer.ok() && answer.rows.size() == 1 &&
               answer.rows[0].size() == kColumns;
  if (!whole) co_return;
  const AnswerRow& row = answer.rows[0];
  bool none = row[3] == "0";
  bool equal = row[3] == "2" && row[1] == row[2];
  operation->torn = !none && !equal;
}

/// One statement of a block; false when the block is over. Until COMMIT is
/// sent, a lost block has certainly no effect.
boost::asio::awaitable<bool> Caller::Step(Operation* operation, std::string sql,
                                          bool last) {
  Answer answer = co_await Query(std::move(sql));
  Settle(answer, operation);
  bool sure = !last && operation->outcome == Outcome::kUnknown;
  if (sure) operation->outcome = Outcome::kFailed;
  if (!answer.rows.empty()) CheckToken(answer, 1, operation);
  if (answer.ok() && last && answer.tag != "COMMIT") {
    bool asked = operation->kind == Kind::kRollback;
    if (!asked) operation->outcome = Outcome::kFailed;
  }
  if (answer.ok()) co_return true;
  if (!answer.lost && answer.status != 'I') co_await Query("ROLLBACK");
  co_return false;
}

/// Reads the pair's first row back within the block that wrote it.
boost::asio::awaitable<bool> Caller::CheckOwn(Operation* operation) {
  Answer answer =
      co_await Query(ReadSql(operation->key + "/a", Token(*operation)));
  if (!answer.ok()) {
    Settle(answer, operation);
    operation->outcome = Outcome::kFailed;
    if (!answer.lost && answer.status != 'I') co_await Query("ROLLBACK");
    co_return false;
  }
  CheckToken(answer, 1, operation);
  bool own = answer.rows.size() == 1 && answer.rows[0].size() == 2 &&
             answer.rows[0][1] == operation->id;
  if (!own) operation->torn = true;
  co_return true;
}

boost::asio::awaitable<void> Caller::Transact(Operation* operation) {
  std::string token = Token(*operation);
  const std::string& id = operation->id;
  std::vector<std::string> steps = {
      "BEGIN", NoteSql(options_.run, id, token),
      SetPairSql(operation->key + "/a", id, token),
      SetPairSql(operation->key + "/b", id, token)};
  for (size_t i = 0; i < steps.size(); ++i) {
    bool open = co_await Step(operation, steps[i], false);
    if (!open) co_return;
  }
  bool open = co_await CheckOwn(operation);
  if (!open) co_return;
  bool commits = operation->kind == Kind::kTransaction;
  co_await Step(operation, commits ? "COMMIT" : "ROLLBACK", true);
}

}  // namespace cardamomchute::loadgen
