/// One caller of a load: a session that makes one operation after the other.
#ifndef CARDAMOMCHUTE_LOADGEN_CALLER_H_
#define CARDAMOMCHUTE_LOADGEN_CALLER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <random>
#include <string>

#include "load.h"

namespace cardamomchute::loadgen {

/// What the callers of a load share.
struct LoadState {
  const LoadOptions* options = nullptr;
  LoadResult* result = nullptr;
  bool stopping = false;
  uint64_t last_operation = 0;
  std::vector<std::string> session_keys;
  int64_t last_acknowledged = 0;  ///< microseconds
};

class Caller {
 public:
  Caller(boost::asio::any_io_executor executor, LoadState* state, size_t rank,
         size_t index);

  /// Makes operations till the load stops.
  boost::asio::awaitable<void> Run();
  /// Ends a pause.
  void Wake() { pause_.cancel(); }

 private:
  using Kind = history::OperationKind;

  Kind ChooseKind();
  history::Operation Begin();
  void End(history::Operation* operation);
  boost::asio::awaitable<void> Operate(history::Operation* operation);
  boost::asio::awaitable<bool> EnsureConnected(history::Operation* operation);
  boost::asio::awaitable<void> Write(history::Operation* operation);
  boost::asio::awaitable<void> WriteOnce(history::Operation* operation,
                                         const std::string& sql, bool keyed);
  boost::asio::awaitable<void> Read(history::Operation* operation);
  boost::asio::awaitable<void> ReadPair(history::Operation* operation);
  boost::asio::awaitable<void> Transact(history::Operation* operation);
  boost::asio::awaitable<bool> Step(history::Operation* operation,
                                    std::string sql, bool last);
  boost::asio::awaitable<bool> CheckOwn(history::Operation* operation);
  boost::asio::awaitable<void> Pause();
  boost::asio::awaitable<Answer> Query(std::string sql);
  void CheckToken(const Answer& answer, size_t rows,
                  history::Operation* operation);
  void Roam();
  double Chance();
  size_t Pick(size_t count);
  std::string Token(const history::Operation& operation) const;

  LoadState& state_;
  const LoadOptions& options_;
  const RankSpec& spec_;
  RankTotals& totals_;
  std::mt19937_64 random_;
  PgClient client_;
  boost::asio::steady_timer pause_;
  std::string session_;
  std::string session_key_;
  std::string floor_;
  size_t entry_ = 0;
  uint64_t sequence_ = 0;
  std::chrono::milliseconds backoff_;
  std::chrono::steady_clock::time_point next_due_;
};

}  // namespace cardamomchute::loadgen

#endif  // CARDAMOMCHUTE_LOADGEN_CALLER_H_
