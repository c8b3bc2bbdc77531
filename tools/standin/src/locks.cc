#include "locks.h"

#include <algorithm>

namespace cardamomchute::standin {

std::string Locks::Name(const std::string& table, const std::string& key) {
  std::string name = table;
  name.push_back('\0');
  name += key;
  return name;
}

bool Locks::TryLock(TransactionId transaction, const std::string& table,
                    const std::string& key) {
  std::string name = Name(table, key);
  auto [holder, added] = holders_.try_emplace(name);
  if (!added) return holder->second.transaction == transaction;
  holder->second.transaction = transaction;
  held_[transaction].push_back(std::move(name));
  return true;
}

bool Locks::ClosesCircle(TransactionId transaction,
                         TransactionId holder) const {
  while (holder != transaction) {
    auto next = waits_for_.find(holder);
    if (next == waits_for_.end()) return false;
    holder = next->second;
  }
  return true;
}

boost::asio::awaitable<SqlResult<void>> Locks::WaitFor(
    TransactionId transaction, const std::string& table, const std::string& key,
    Waiter* waiter) {
  std::string name = Name(table, key);
  for (;;) {
    auto holder = holders_.find(name);
    if (holder == holders_.end()) co_return SqlOk();
    TransactionId other = holder->second.transaction;
    if (other == transaction) co_return SqlOk();
    if (std::optional<SqlError> e = waiter->Interruption()) co_return *e;
    if (ClosesCircle(transaction, other)) {
      co_return SqlError{"40P01", "deadlock detected"};
    }
    holder->second.waiting.push_back(waiter);
    waits_for_[transaction] = other;
    co_await waiter->Until(SteadyTime::max());
    waits_for_.erase(transaction);
    auto again = holders_.find(name);
    if (again != holders_.end()) std::erase(again->second.waiting, waiter);
  }
}

void Locks::Release(TransactionId transaction, size_t keep) {
  auto held = held_.find(transaction);
  if (held == held_.end()) return;
  std::vector<std::string>& names = held->second;
  while (names.size() > keep) {
    auto holder = holders_.find(names.back());
    std::vector<Waiter*> waiting = std::move(holder->second.waiting);
    holders_.erase(holder);
    names.pop_back();
    for (Waiter* waiter : waiting) waiter->Wake();
  }
  if (names.empty()) held_.erase(held);
}

size_t Locks::CountOf(TransactionId transaction) const {
  auto held = held_.find(transaction);
  return held == held_.end() ? 0 : held->second.size();
}

}  // namespace cardamomchute::standin
