/// Lets one session wait for a time, a grant or an interruption.
#ifndef CARDAMOMCHUTE_STANDIN_WAITER_H_
#define CARDAMOMCHUTE_STANDIN_WAITER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>

#include "value.h"

namespace cardamomchute::standin {

using SteadyTime = std::chrono::steady_clock::time_point;

class Waiter {
 public:
  explicit Waiter(boost::asio::any_io_executor executor) : timer_(executor) {}

  /// Returns at `until`, or sooner after a Wake; check what was waited for.
  boost::asio::awaitable<void> Until(SteadyTime until);
  void Wake() { timer_.cancel(); }

  /// The client cancelled the statement under way.
  void Cancel();
  /// The connection is lost; no wait goes on.
  void Abandon();
  /// A new statement begins: an earlier cancel is over.
  void Clear() { cancelled_ = false; }
  /// From now on waits end with 57014 at `deadline`.
  void SetDeadline(std::optional<SteadyTime> deadline) { deadline_ = deadline; }

  /// 57014 or 57P01 once the wait must end.
  std::optional<SqlError> Interruption() const;

 private:
  boost::asio::steady_timer timer_;
  bool cancelled_ = false;
  bool abandoned_ = false;
  std::optional<SteadyTime> deadline_;
};

/// Waits till `until`; an interruption ends it early.
boost::asio::awaitable<SqlResult<void>> SleepUntil(Waiter* waiter,
                                                   SteadyTime until);

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_WAITER_H_
