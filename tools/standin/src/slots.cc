#include "slots.h"

namespace cardamomchute::standin {

Slots::Ticket::Ticket(Slots* the_slots, Waiter* the_waiter)
    : slots(the_slots), waiter(the_waiter) {
  slots->queue_.push_back(this);
}

Slots::Ticket::~Ticket() {
  if (!granted) std::erase(slots->queue_, this);
}

boost::asio::awaitable<SqlResult<void>> Slots::Acquire(Waiter* waiter) {
  if (used_ < limit_ && queue_.empty()) {
    ++used_;
    co_return SqlOk();
  }
  Ticket ticket(this, waiter);
  while (!ticket.granted) {
    if (std::optional<SqlError> e = waiter->Interruption()) co_return *e;
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
