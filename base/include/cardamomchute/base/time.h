/// Time as the whole system counts it: milliseconds on a monotonic clock.
#ifndef CARDAMOMCHUTE_BASE_TIME_H_
#define CARDAMOMCHUTE_BASE_TIME_H_

#include <compare>
#include <cstdint>

namespace cardamomchute {

/// A span of milliseconds; may be negative.
///
///     Duration lease = Millis(1500);
class Duration {
 public:
  constexpr Duration() = default;
  constexpr explicit Duration(int64_t ms) : ms_(ms) {}
  constexpr int64_t ms() const { return ms_; }

  friend constexpr auto operator<=>(Duration, Duration) = default;
  friend constexpr Duration operator+(Duration a, Duration b) {
    return Duration(a.ms_ + b.ms_);
  }
  friend constexpr Duration operator-(Duration a, Duration b) {
    return Duration(a.ms_ - b.ms_);
  }
  friend constexpr Duration operator*(Duration a, int64_t n) {
    return Duration(a.ms_ * n);
  }
  friend constexpr Duration operator/(Duration a, int64_t n) {
    return Duration(a.ms_ / n);
  }

 private:
  int64_t ms_ = 0;
};

constexpr Duration Millis(int64_t ms) { return Duration(ms); }
constexpr Duration Seconds(int64_t s) { return Duration(s * 1000); }

/// A point on one VM's monotonic clock; never compared between VMs.
class Time {
 public:
  constexpr Time() = default;
  constexpr explicit Time(int64_t ms) : ms_(ms) {}
  constexpr int64_t ms() const { return ms_; }

  friend constexpr auto operator<=>(Time, Time) = default;
  friend constexpr Time operator+(Time t, Duration d) {
    return Time(t.ms_ + d.ms());
  }
  friend constexpr Time operator-(Time t, Duration d) {
    return Time(t.ms_ - d.ms());
  }
  friend constexpr Duration operator-(Time a, Time b) {
    return Duration(a.ms_ - b.ms_);
  }

 private:
  int64_t ms_ = 0;
};

/// Reads the monotonic clock.
Time Now();

/// Milliseconds since 1970 by this VM's wall clock, which may jump.
uint64_t WallClockMs();

/// Microseconds on the same clock as `Now`, for histograms only.
int64_t NowMicros();

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_BASE_TIME_H_
