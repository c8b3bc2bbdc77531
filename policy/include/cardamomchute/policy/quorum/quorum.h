/// Replicated log of the control members (Raft): elections, replication,
/// commit and membership changes as functions over one state, without I/O.
///
/// Functions take inputs and the current time and collect their output in the
/// state until `TakeOutput`. The host then, in this order: syncs term and vote,
/// snapshot and entries to disk; calls `OnPersisted`; sends the messages;
/// applies the committed entries. Nothing may be sent before the sync.
#ifndef CARDAMOMCHUTE_POLICY_QUORUM_QUORUM_H_
#define CARDAMOMCHUTE_POLICY_QUORUM_QUORUM_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/pack.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// Identifies a member with its data folder: "VM#incarnation". A VM that lost
/// its data folder joins again under a new ID.
using MemberId = StrongString<struct MemberTag>;
/// Election term of the control quorum.
using QuorumTerm = StrongNumber<struct QuorumTermTag>;
/// Index in the replicated log, from 1; 0 is before the first entry.
using LogIndex = StrongNumber<struct LogIndexTag>;
/// Number of a heartbeat round in which a leader confirms its leadership.
using Round = StrongNumber<struct RoundTag>;

struct QuorumTiming {
  Duration heartbeat = Millis(100);
  /// Minimum time without a leader after which a follower starts an election.
  Duration election_min = Millis(500);
  /// Maximum time without a leader after which an election starts. A leader
  /// that hears no quorum for this long steps down.
  Duration election_max = Millis(1000);
  /// Delay before an unanswered snapshot is sent again.
  Duration snapshot_retry = Seconds(2);
};

/// Bytes of commands after which an AppendRequest takes no further entries;
/// the last entry may exceed it.
inline constexpr size_t kMaxAppendBytes = 1024 * 1024;

struct QuorumMember {
  VmId vm;
  Address address;
  bool voter = false;

  friend bool operator==(const QuorumMember&, const QuorumMember&) = default;
  MSGPACK_DEFINE(vm, address, voter)
};

struct QuorumConfig {
  std::map<MemberId, QuorumMember> members;

  friend bool operator==(const QuorumConfig&, const QuorumConfig&) = default;
  MSGPACK_DEFINE(members)
};

enum class EntryKind : uint8_t { kNoop, kCommand, kConfig };

struct LogEntry {
  LogIndex index;
  QuorumTerm term;
  EntryKind kind = EntryKind::kNoop;
  std::string command;  ///< kCommand only
  QuorumConfig config;  ///< kConfig only

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
  MSGPACK_DEFINE(index, term, kind, command, config)
};

/// State of the state machine at `last_index`; replaces the entries up to it.
struct QuorumSnapshot {
  LogIndex last_index;
  QuorumTerm last_term;
  QuorumConfig config;
  std::string state;

  friend bool operator==(const QuorumSnapshot&,
                         const QuorumSnapshot&) = default;
  MSGPACK_DEFINE(last_index, last_term, config, state)
};

struct TermAndVote {
  QuorumTerm term;
  MemberId voted_for;  ///< empty: no vote in this term

  friend bool operator==(const TermAndVote&, const TermAndVote&) = default;
  MSGPACK_DEFINE(term, voted_for)
};

/// State that a member loads from its data folder.
struct StoredQuorum {
  TermAndVote vote;
  QuorumSnapshot snapshot;
  std::vector<LogEntry> entries;  ///< contiguous, after the snapshot
};

/// Requests a vote; with `pre`, only whether it would be granted (pre-vote).
struct VoteRequest {
  bool pre = false;
  LogIndex last_index;
  QuorumTerm last_term;

  MSGPACK_DEFINE(pre, last_index, last_term)
};

struct VoteResponse {
  bool pre = false;
  bool granted = false;

  MSGPACK_DEFINE(pre, granted)
};

/// Entries after `previous_index`; a heartbeat has none.
struct AppendRequest {
  LogIndex previous_index;
  QuorumTerm previous_term;
  LogIndex commit;
  Round round;
  std::vector<LogEntry> entries;

  MSGPACK_DEFINE(previous_index, previous_term, commit, round, entries)
};

struct SnapshotRequest {
  Round round;
  QuorumSnapshot snapshot;

  MSGPACK_DEFINE(round, snapshot)
};

struct AppendResponse {
  bool matched = false;
  LogIndex match;  ///< synced up to here; if not matched, index to retry after
  Round round;

  MSGPACK_DEFINE(matched, match, round)
};

struct QuorumMessage {
  MemberId from;
  MemberId to;
  QuorumTerm term;  ///< the sender's term; for a pre-vote the one it would use
  std::variant<VoteRequest, VoteResponse, AppendRequest, SnapshotRequest,
               AppendResponse>
      body;
};

enum class QuorumRole { kFollower, kPreCandidate, kCandidate, kLeader };

struct QuorumOutput {
  bool save_vote = false;  ///< state.vote changed
  /// Replaces log and state machine; to be stored before `append`.
  std::optional<QuorumSnapshot> install;
  /// To be synced in order. An entry whose index is already stored replaces
  /// the log from there on.
  std::vector<LogEntry> append;
  std::vector<QuorumMessage> messages;
  std::vector<LogEntry> apply;
  /// Last round that a quorum has confirmed (leader only).
  Round confirmed;

  bool Empty() const;
};

/// Replication progress of another member, tracked by the leader.
struct MemberProgress {
  LogIndex next;
  LogIndex match;
  Round acked;
  Time last_answer;
  std::optional<Time> snapshot_sent;
};

struct QuorumState {
  MemberId self;
  QuorumTiming timing;
  size_t max_append_bytes = kMaxAppendBytes;
  uint64_t random = 1;

  TermAndVote vote;
  QuorumSnapshot snapshot;
  std::vector<LogEntry> log;  ///< after the snapshot
  QuorumConfig config;        ///< latest in the log, committed or not
  LogIndex config_index;

  QuorumRole role = QuorumRole::kFollower;
  MemberId leader;  ///< empty: unknown
  LogIndex commit;
  LogIndex applied;    ///< last index returned in `apply`
  LogIndex persisted;  ///< last index synced on this member
  Time election_due;
  Time heartbeat_due;
  std::optional<Time> leader_heard;
  std::set<MemberId> votes;
  std::map<MemberId, MemberProgress> progress;
  Round round;
  Round confirmed;
  /// When each unconfirmed round started (leader only).
  std::map<Round, Time> round_started;
  /// Start of the last confirmed round: no other member led at that time.
  std::optional<Time> confirmed_at;
  bool append_due = false;
  /// The disk takes no writes: log and vote may be ahead of what is synced.
  bool disk_refuses = false;
  QuorumOutput output;
};

QuorumState MakeQuorum(MemberId self, StoredQuorum stored, QuorumTiming timing,
                       uint64_t seed, Time now);

void OnTick(QuorumState& state, Time now);
void OnMessage(QuorumState& state, const QuorumMessage& message, Time now);

/// Reports that this member has synced all entries up to `index`, whose entry
/// has `term`.
void OnPersisted(QuorumState& state, LogIndex index, QuorumTerm term, Time now);

/// Reports that `output` could not be synced, or only in part. The host drops
/// its messages and applies its entries. The member then follows the leader in
/// memory: it grants no vote, starts no election, gives up leadership, and
/// acknowledges entries only as far as they were synced before.
void OnDiskRefused(QuorumState& state, const QuorumOutput& output, Time now);

/// Reports that vote, snapshot and log are synced as they are in memory.
void OnDiskRecovered(QuorumState& state, Time now);

/// Appends a command; returns nothing if this member is not the leader.
std::optional<LogIndex> Propose(QuorumState& state, std::string command);

/// Changes the membership by at most one voter. Refused with kUnavailable while
/// another change is uncommitted or the leader has committed no entry of its
/// term.
Result<LogIndex> ProposeConfig(QuorumState& state, QuorumConfig config);

/// Starts a round of heartbeats. It is confirmed once a quorum has answered it
/// and an entry of this term is committed. Returns nothing if this member is
/// not the leader.
std::optional<Round> StartRound(QuorumState& state);

/// Replaces the entries up to `index`, which must be applied, by a snapshot.
/// The host then stores `state.snapshot` and `state.log`. Does nothing while
/// output is pending, since unsynced entries may not go into a snapshot.
void Compact(QuorumState& state, LogIndex index, std::string bytes);

QuorumOutput TakeOutput(QuorumState& state, Time now);

/// Whether a member has answered within the election timeout and has synced
/// all committed entries.
bool CaughtUp(const QuorumState& state, const MemberId& id, Time now);

LogIndex LastIndex(const QuorumState& state);
/// Returns the term of the entry at `index`, or nothing if it is not in the
/// log.
std::optional<QuorumTerm> TermAt(const QuorumState& state, LogIndex index);
bool IsVoter(const QuorumConfig& config, const MemberId& id);
size_t VoterCount(const QuorumConfig& config);

}  // namespace cardamomchute

MSGPACK_ADD_ENUM(cardamomchute::EntryKind);

#endif  // CARDAMOMCHUTE_POLICY_QUORUM_QUORUM_H_
