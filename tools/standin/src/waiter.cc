#include "waiter.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cardamomchute::standin {

boost::asio::awaitable<void> Waiter::Until(SteadyTime until) {
  if (deadline_) until = std::min(until, *deadline_);
  timer_.expires_at(until);
  boost::system::error_code ignored;
  co_await timer_.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

void Waiter::Cancel() {
  cancelled_ = true;
  Wake();
}

void Waiter::Abandon() {
  abandoned_ = true;
  Wake();
}

std::optional<SqlError> Waiter::Interruption() const {
  if (abandoned_) return SqlError{"57P01", "connection is lost", "FATAL"};
  if (cancelled_) {
    return SqlError{"57014", "canceling statement due to user request"};
  }
  if (deadline_ && std::chrono::steady_clock::now() >= *deadline_) {
    return SqlError{"57014", "canceling statement due to statement timeout"};
  }
  return std::nullopt;
}

boost::asio::awaitable<SqlResult<void>> SleepUntil(Waiter* waiter,
                                                   SteadyTime until) {
  while (std::chrono::steady_clock::now() < until) {
    if (std::optional<SqlError> e = waiter->Interruption()) co_return *e;
    co_await waiter->Until(until);
  }
  co_return SqlOk();
}

}  // namespace cardamomchute::standin
