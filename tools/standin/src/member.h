/// One member of a group: its role, log, tables and positions. No sockets.
#ifndef CARDAMOMCHUTE_STANDIN_MEMBER_H_
#define CARDAMOMCHUTE_STANDIN_MEMBER_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"
#include "history_file.h"
#include "locks.h"
#include "log_entry.h"
#include "store.h"

namespace cardamomchute::standin {

/// Where the first term begins.
inline constexpr Position kFirstPosition{0x1000000};

class Member {
 public:
  using Listener = std::function<void()>;

  Member(boost::asio::any_io_executor executor, bool primary, Duration lag,
         HistoryFile history);

  bool is_primary() const { return primary_; }
  Term term() const { return timeline_.back().term; }
  const Timeline& timeline() const { return timeline_; }
  /// End of the log.
  Position received() const;
  /// End of what the tables show.
  Position replayed() const;
  const Store& store() const { return store_; }
  Locks& locks() { return locks_; }
  /// Grows whenever the role changes; a transaction begun before has ended.
  uint64_t reign() const { return reign_; }

  /// Appends to the log and applies at once. Only on a primary.
  Position Commit(std::vector<Change> changes);

  /// Replays all that was received and begins the next term.
  void Promote();
  /// Becomes a replica that waits for a primary's log.
  void Demote();
  /// Takes over a primary's timeline; what the log holds past `end` goes.
  void Adopt(const Timeline& timeline, Position end);
  /// Takes one entry of the primary's log, to be replayed after the lag.
  void Receive(LogEntryPtr entry);
  void SetLag(Duration lag);
  Duration lag() const { return lag_; }

  /// Entries from log index `from` on, at most `limit`.
  std::vector<LogEntryPtr> EntriesFrom(size_t from, size_t limit) const;
  /// Log index of the first entry that starts at or past `position`.
  size_t IndexAt(Position position) const;
  size_t log_size() const { return log_.size(); }

  /// Called after each change of log or role, till the returned id is given
  /// back.
  uint64_t Listen(Listener listener);
  void Unlisten(uint64_t id);

  TransactionId NextTransaction() { return ++last_transaction_; }
  /// A row key for tables without a primary key; unique within the group.
  std::string NextRowKey();

 private:
  using Clock = std::chrono::steady_clock;

  void ApplyNext(bool noted);
  void ReplayDue();
  void Rebuild(size_t entries);
  void Notify();

  boost::asio::steady_timer replay_timer_;
  bool primary_;
  Duration lag_;
  HistoryFile history_;
  Timeline timeline_{TermStart{Term(1), kFirstPosition}};
  std::vector<LogEntryPtr> log_;
  size_t applied_ = 0;  ///< log entries that the tables show
  std::deque<Clock::time_point> arrivals_;  ///< of entries not yet applied
  Store store_;
  Locks locks_;
  uint64_t reign_ = 0;
  TransactionId last_transaction_ = 0;
  uint64_t last_row_ = 0;
  std::vector<std::pair<uint64_t, Listener>> listeners_;
  uint64_t last_listener_ = 0;
};

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_MEMBER_H_
