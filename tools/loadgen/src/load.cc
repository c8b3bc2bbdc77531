#include "load.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "caller.h"
#include "cardamomchute/base/time.h"
#include "load_sql.h"

namespace cardamomchute::loadgen {
namespace {

constexpr std::chrono::seconds kPatience(60);
constexpr std::chrono::milliseconds kRetryPause(100);
/// Statements still under way at the end get this long beyond their timeout.
constexpr std::chrono::seconds kGrace(5);

boost::asio::awaitable<void> Sleep(std::chrono::milliseconds time) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  timer.expires_after(time);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

/// Runs one statement on a connection of its own, at any of `entries`, again
/// and again till it succeeds or patience ends. For what may be repeated.
boost::asio::awaitable<Answer> RunSurely(const LoadOptions& options,
                                         std::vector<Address> entries,
                                         std::string sql) {
  boost::asio::any_io_executor executor =
      co_await boost::asio::this_coro::executor;
  std::chrono::steady_clock::time_point give_up =
      std::chrono::steady_clock::now() + kPatience;
  Answer answer;
  for (size_t i = 0; std::chrono::steady_clock::now() < give_up; ++i) {
    PgClient client(executor);
    std::vector<pgwire::StartupPacket::Option> startup = {
        {"user", options.user},
        {"database", options.database},
        {"application_name", options.ranks[0].name},
        {"cardamomchute.max_staleness_ms", "0"}};
    answer = co_await client.Connect(entries[i % entries.size()], startup,
                                     options.timeout);
    if (answer.ok()) {
      answer = co_await client.Query(sql, kPatience);
    }
    if (answer.ok()) co_return answer;
    co_await Sleep(kRetryPause);
  }
  co_return answer;
}

Error Unavailable(const std::string& what, const Answer& answer) {
  std::string why = answer.error
                        ? answer.error->sqlstate + " " + answer.error->message
                        : "no answer";
  return Error{ErrorKind::kUnavailable, what + ": " + why,
               "check the entries, the database and the user"};
}

class Load {
 public:
  explicit Load(const LoadOptions& options) : options_(options) {
    state_.options = &options_;
    state_.result = &result_;
    for (size_t i = 0; i < options_.ranks.size(); ++i) {
      result_.ranks.push_back(std::make_unique<RankTotals>());
    }
  }

  Result<LoadResult> Run() {
    boost::asio::co_spawn(io_, RunAll(), boost::asio::detached);
    io_.run();
    callers_.clear();
    if (error_) return *error_;
    return std::move(result_);
  }

 private:
  boost::asio::awaitable<void> RunAll() {
    Answer created =
        co_await RunSurely(options_, options_.entries, CreateTableSql());
    if (!created.ok()) {
      error_ = Unavailable("can't create the table", created);
      co_return;
    }
    StartCallers();
    int64_t started = NowMicros();
    state_.last_acknowledged = started;
    co_await Sleep(options_.duration);
    state_.stopping = true;
    result_.elapsed = std::chrono::milliseconds((NowMicros() - started) / 1000);
    co_await AwaitCallers();
    co_await ReadFinalRows();
    io_.stop();
  }

  void StartCallers() {
    size_t index = 0;
    for (size_t rank = 0; rank < options_.ranks.size(); ++rank) {
      for (size_t i = 0; i < options_.ranks[rank].callers; ++i, ++index) {
        state_.session_keys.push_back(options_.run + "/s/" +
                                      std::to_string(index));
        callers_.push_back(
            std::make_unique<Caller>(io_.get_executor(), &state_, rank, index));
      }
    }
    running_ = callers_.size();
    for (std::unique_ptr<Caller>& caller : callers_) {
      boost::asio::co_spawn(io_, caller->Run(),
                            [this](std::exception_ptr) { --running_; });
    }
  }

  boost::asio::awaitable<void> AwaitCallers() {
    std::chrono::steady_clock::time_point give_up =
        std::chrono::steady_clock::now() + options_.timeout + kGrace;
    while (running_ > 0 && std::chrono::steady_clock::now() < give_up) {
      for (std::unique_ptr<Caller>& caller : callers_) caller->Wake();
      co_await Sleep(kRetryPause / 10);
    }
  }

  boost::asio::awaitable<void> ReadFinalRows() {
    const std::vector<Address>& entries = options_.final_entries.empty()
                                              ? options_.entries
                                              : options_.final_entries;
    Answer answer =
        co_await RunSurely(options_, entries, FinalRowsSql(options_.run));
    if (!answer.ok()) {
      error_ = Unavailable("can't read the rows at the end", answer);
      co_return;
    }
    std::map<std::string, std::string> rows;
    for (AnswerRow& row : answer.rows) {
      bool whole = row.size() == 2 && row[0] && row[1];
      if (whole) rows[*row[0]] = std::move(*row[1]);
    }
    result_.history.final_rows = std::move(rows);
  }

  const LoadOptions& options_;
  boost::asio::io_context io_{1};
  LoadResult result_;
  LoadState state_;
  std::vector<std::unique_ptr<Caller>> callers_;
  size_t running_ = 0;
  std::optional<Error> error_;
};

}  // namespace

Result<LoadResult> RunLoad(const LoadOptions& options) {
  return Load(options).Run();
}

}  // namespace cardamomchute::loadgen
