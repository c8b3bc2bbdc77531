/// Row locks that transactions hold until they end.
#ifndef CARDAMOMCHUTE_STANDIN_LOCKS_H_
#define CARDAMOMCHUTE_STANDIN_LOCKS_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "waiter.h"

namespace cardamomchute::standin {

using TransactionId = uint64_t;

class Locks {
 public:
  /// True when `transaction` holds the row now.
  bool TryLock(TransactionId transaction, const std::string& table,
               const std::string& key);

  /// Waits until whoever holds the row has let go of it. 40P01 when waiting
  /// would close a circle; an interruption of `waiter` ends it too.
  boost::asio::awaitable<SqlResult<void>> WaitFor(TransactionId transaction,
                                                  const std::string& table,
                                                  const std::string& key,
                                                  Waiter* waiter);

  /// Gives up all that the transaction locked after its first `keep` locks.
  void Release(TransactionId transaction, size_t keep = 0);
  /// How many locks the transaction holds.
  size_t CountOf(TransactionId transaction) const;
  size_t held() const { return holders_.size(); }

 private:
  struct Holder {
    TransactionId transaction = 0;
    std::vector<Waiter*> waiting;
  };

  static std::string Name(const std::string& table, const std::string& key);
  bool ClosesCircle(TransactionId transaction, TransactionId holder) const;

  std::unordered_map<std::string, Holder> holders_;
  std::unordered_map<TransactionId, std::vector<std::string>> held_;
  /// Whom each waiting transaction waits for.
  std::unordered_map<TransactionId, TransactionId> waits_for_;
};

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_LOCKS_H_
