/// A stand-in for one database group that speaks the line protocol, for tests:
/// a primary and replicas on loopback, with faults to switch on.
#ifndef CARDAMOMCHUTE_RELAY_TEST_LINE_GROUP_H_
#define CARDAMOMCHUTE_RELAY_TEST_LINE_GROUP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cardamomchute/policy/routing/directory.h"

namespace cardamomchute {

/// Start of the processes that LineGroup::Record announces.
inline constexpr uint64_t kFirstStartMs = 1;

class LineSession;

/// What one endpoint of the group is, and how it misbehaves.
struct LineMember {
  EndpointId id;
  Address address;
  bool is_primary = false;
  uint64_t term = 1;
  uint64_t received = 0;      ///< commits in its log
  uint64_t applied = 0;       ///< commits that its reads see
  uint64_t paused_below = 0;  ///< term; receives nothing below it
  bool cut_off = false;       ///< receives no commits
  bool lags = false;          ///< receives, and does not apply
  uint64_t lag_ms = 0;        ///< what it says of itself
  bool silent = false;        ///< reads, and answers nothing
  bool mute_commits = false;  ///< runs commits and writes, loses the answers
  int lose_answers = 0;       ///< so many connections hang after a statement
  bool full = false;          ///< refuses connections as too many
  int refuse_busy = 0;        ///< refuses so many statements as busy
  int skip_answers = 0;       ///< leaves so many out, and answers what follows
  std::vector<std::string> runs;  ///< "id text", as received from callers
  /// Who sent each of `runs`, as said when its connection was opened.
  std::vector<std::string> run_callers;
  std::vector<std::string> connected;  ///< who opened connections, in order
  size_t connections = 0;
  size_t running = 0;  ///< statements under way
  size_t most_running = 0;
};

/// A broken rule, planted to show that a checker finds it: every few times a
/// commit is acknowledged and not kept, or kept twice, or a read returns what
/// was there before, or another item.
enum class Plant : uint8_t { kNone, kLost, kDoubled, kStale, kMixed };

class LineGroup {
 public:
  LineGroup(boost::asio::io_context* io, std::string name, size_t members);
  ~LineGroup();

  LineMember& member(size_t i) { return *members_[i]; }
  size_t size() const { return members_.size(); }
  /// The announcement of member i, in the zone given.
  EndpointRecord Record(size_t i, const std::string& zone,
                        uint64_t sequence) const;
  /// As the platform does: the member leads the next term.
  void Promote(const EndpointId& id);
  /// A replaced primary goes on as before until it is demoted.
  void SetReplacedGoesOn() { replaced_goes_on_ = true; }
  /// Commits one write at the primary, as a client of the group would. Returns
  /// whether it is acknowledged.
  bool Commit(const std::string& item, const std::string& data);
  /// Closes the listener and all connections of a member.
  void Kill(size_t i);
  void SetPlant(Plant plant) { plant_ = plant; }
  /// Each statement takes this long.
  void SetWork(Duration work) { work_ = work; }
  uint64_t commits() const { return log_.size(); }
  /// How many commits hold `data`.
  size_t CountOf(const std::string& data) const;
  /// Position of the last commit that holds `data`, or 0.
  size_t PositionOf(const std::string& data) const;

  /// Runs after a member has been paused.
  std::function<void()> on_pause;

 private:
  friend class LineSession;
  struct LogEntry {
    std::string item;
    std::string data;
  };

  void Accept(size_t i);
  /// False: there is no primary, or no replica receives, so that it may not be
  /// acknowledged.
  bool Append(const std::vector<LogEntry>& commits);
  std::string Latest(const std::string& item, uint64_t applied) const;
  /// Whether `plant` is due now.
  bool Due(Plant plant) const;

  boost::asio::io_context* io_;
  std::string name_;
  uint64_t term_ = 1;
  bool replaced_goes_on_ = false;
  Plant plant_ = Plant::kNone;
  mutable uint64_t plant_turns_ = 0;
  Duration work_ = Millis(1);
  std::vector<LogEntry> log_;
  std::vector<std::unique_ptr<LineMember>> members_;
  std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> acceptors_;
  std::set<std::shared_ptr<LineSession>> sessions_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_RELAY_TEST_LINE_GROUP_H_
