#include "slots.h"

#include <algorithm>

namespace cardamomchute::standin {

boost::asio::awaitable<SqlResult<void>> Slots::Acquire(Waiter* waiter) {
  if (used_ < limit_ && queue_.empty()) {
    ++used_;
    co_return SqlOk();
  }
  Ticket ticket{waiter, false};
  queue_.push_back(&ticket);
  while (!ticket.granted) {
    if (std::optional<SqlError> e = waiter->Interruption()) {
      queue_.erase(std::find(queue_.begin(), queue_.end(), &ticket));
      co_return *e;
    }
    co_await waiter->Until(SteadyTime::max());
  }
  co_return SqlOk();
}

void Slots::Release() {
  --used_;
  Grant();
}

void Slots::SetLimit(size_t limit) {
  limit_ = limit;
  Grant();
}

void Slots::Grant() {
  while (used_ < limit_ && !queue_.empty()) {
    Ticket* ticket = queue_.front();
    queue_.pop_front();
    ++used_;
    ticket->granted = true;
    ticket->waiter->Wake();
  }
}

}  // namespace cardamomchute::standin
