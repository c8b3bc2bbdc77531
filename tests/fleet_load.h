/// Load on a fleet by callers that remember what was promised to them.
#ifndef CARDAMOMCHUTE_TESTS_FLEET_LOAD_H_
#define CARDAMOMCHUTE_TESTS_FLEET_LOAD_H_

#include <atomic>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fleet.h"

namespace cardamomchute::testing {

inline constexpr uint64_t kOddSequence = 1'000'000;
inline constexpr size_t kOddLevels = 200'000;

/// Writes and reads through all relays in turn, and remembers what must hold.
class Load {
 public:
  Load(Fleet* fleet, size_t relay) : Load(fleet, relay, relay) {}
  /// Loads at the same time have ids of their own, also at the same relay.
  Load(Fleet* fleet, size_t relay, size_t id)
      : fleet_(fleet), relay_(relay), id_(id) {
    thread_ = std::thread([this] {
      while (running_) Step();
    });
  }
  ~Load() { Stop(); }

  void Stop() {
    running_ = false;
    if (thread_.joinable()) thread_.join();
  }

  size_t acknowledged() const { return acknowledged_count_; }
  const std::vector<std::string>& Acknowledged() const { return acknowledged_; }
  const std::vector<std::string>& Promised() const { return promised_; }
  /// Reads that missed the session's own write.
  const std::vector<std::string>& Stale() const { return stale_; }

 private:
  void Step() {
    if (!caller_ || !caller_->open()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      caller_ = std::make_unique<Caller>(fleet_->Callers(relay_));
      return;
    }
    std::string data =
        "v" + std::to_string(id_) + "x" + std::to_string(++next_);
    std::string item = "i" + std::to_string(id_);
    bool transaction = next_ % 3 == 0;
    if (transaction) caller_->Query("BEGIN");
    std::string answer = caller_->Query("WRITE " + item + " " + data);
    if (transaction && answer.starts_with("DONE"))
      answer = caller_->Query("COMMIT");
    if (answer.starts_with("DONE")) {
      acknowledged_.push_back(data);
      ++acknowledged_count_;
      // The session's own write is there, whoever is asked.
      std::string read = caller_->Query("READ " + item);
      if (read.starts_with("ROW") && !read.starts_with("ROW " + data + "|"))
        CheckOtherValue(data, read);
      return;
    }
    bool promise = answer.starts_with("ERR BUSY") ||
                   answer.starts_with("ERR ABORTED") ||
                   answer.starts_with("ERR READONLY");
    if (promise)
      promised_.push_back(data);
    else
      unknown_.insert(data);
    caller_ = nullptr;
  }

  /// Another value than the session's own last write is allowed in one case
  /// only: a write of this load that got no answer was committed after it, as
  /// happens when a frozen relay wakes. Whatever was committed before it, or
  /// was answered, or stands nowhere, is stale.
  void CheckOtherValue(const std::string& data, const std::string& read) {
    std::string value = read.substr(4, read.find('|') - 4);
    auto [written, found] =
        fleet_->WithGroup([&data, &value](LineGroup& group) {
          return std::pair(group.PositionOf(data), group.PositionOf(value));
        });
    bool committed_late = found > written && unknown_.contains(value);
    if (committed_late) return;
    stale_.push_back("wrote " + data + " at " + std::to_string(written) +
                     ", read " + value + " at " + std::to_string(found) +
                     (unknown_.contains(value) ? ", unanswered" : ""));
  }

  Fleet* fleet_;
  size_t relay_;
  size_t id_;  ///< of its item and its values
  std::unique_ptr<Caller> caller_;
  int next_ = 0;
  std::vector<std::string> acknowledged_;
  std::vector<std::string> promised_;
  std::set<std::string> unknown_;  ///< neither acknowledged nor promised
  std::atomic<size_t> acknowledged_count_{0};
  std::vector<std::string> stale_;
  std::atomic<bool> running_{true};
  std::thread thread_;
};

/// What was promised to the load's callers and does not hold, a line each.
inline std::vector<std::string> BrokenPromises(Fleet* fleet, const Load& load) {
  std::vector<std::string> broken = load.Stale();
  auto count = [fleet](const std::string& data) {
    return fleet->WithGroup(
        [&data](LineGroup& group) { return group.CountOf(data); });
  };
  for (const std::string& data : load.Acknowledged()) {
    size_t copies = count(data);
    if (copies == 1) continue;
    broken.push_back(data + " was acknowledged and stands " +
                     std::to_string(copies) + " times");
  }
  for (const std::string& data : load.Promised()) {
    if (count(data) > 0) broken.push_back(data + " was said not to be kept");
  }
  return broken;
}

inline void CheckPromises(Fleet* fleet, const Load& load) {
  for (const std::string& line : BrokenPromises(fleet, load)) BOOST_ERROR(line);
}

/// What another writer may leave: nested deeply, with numbers too large, with
/// ports out of range, with names that end a line or are spread to all.
inline std::vector<std::string> OddAnnouncements() {
  std::string valid =
      AnnouncementText(Address{"127.0.0.1", 9}, false, kOddSequence);
  auto with = [&valid](const std::string& from, const std::string& to) {
    std::string odd = valid;
    odd.replace(odd.find(from), from.size(), to);
    return odd;
  };
  std::string deep(kOddLevels, '[');
  std::string slots = "\"slots\":2";
  return {deep,
          with("{", "{\"more\":" + deep + std::string(kOddLevels, ']') + ","),
          with(slots, "\"slots\":4294967295"),
          with(slots, "\"slots\":18446744073709551616"),
          with(slots, "\"slots\":1e999"),
          with("\"born\":1", "\"born\":9223372036854775807"),
          with(":9\"", ":70000\""),
          with(":9\"", ":0\""),
          with("\"g1\"", "\"nobody\""),
          with("\"g1\"", "\"g1\\r\\nQUERY - WRITE k odd\""),
          with("\"zone\":\"a\"",
               "\"zone\":\"" + std::string(kOddLevels, 'z') + "\"")};
}

}  // namespace cardamomchute::testing

#endif  // CARDAMOMCHUTE_TESTS_FLEET_LOAD_H_
