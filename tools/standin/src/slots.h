/// How many statements execute at once; the others wait in order.
#ifndef CARDAMOMCHUTE_STANDIN_SLOTS_H_
#define CARDAMOMCHUTE_STANDIN_SLOTS_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <utility>

#include "waiter.h"

namespace cardamomchute::standin {

class Slots {
 public:
  explicit Slots(size_t limit) : limit_(limit) {}

  /// Takes a slot; fails only when the waiter is interrupted.
  boost::asio::awaitable<SqlResult<void>> Acquire(Waiter* waiter);
  void Release();

  void SetLimit(size_t limit);
  size_t limit() const { return limit_; }
  size_t used() const { return used_; }
  size_t waiting() const { return queue_.size(); }

 private:
  /// A place in the queue; leaves it when it goes out of scope.
  struct Ticket {
    Ticket(Slots* the_slots, Waiter* the_waiter);
    ~Ticket();
    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

    Slots* slots;
    Waiter* waiter;
    bool granted = false;
  };

  void Grant();

  size_t limit_;
  size_t used_ = 0;
  std::deque<Ticket*> queue_;
};

/// Gives a slot back when it goes out of scope.
class HeldSlot {
 public:
  explicit HeldSlot(std::shared_ptr<Slots> slots) : slots_(std::move(slots)) {}
  HeldSlot(HeldSlot&& other) noexcept = default;
  HeldSlot& operator=(HeldSlot&& other) noexcept {
    std::swap(slots_, other.slots_);
    return *this;
  }
  HeldSlot(const HeldSlot&) = delete;
  HeldSlot& operator=(const HeldSlot&) = delete;
  ~HeldSlot() { Release(); }

  void Release() {
    if (slots_) slots_->Release();
    slots_ = nullptr;
  }

 private:
  std::shared_ptr<Slots> slots_;
};

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_SLOTS_H_
