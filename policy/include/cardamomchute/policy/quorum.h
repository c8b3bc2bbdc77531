/// The replicated log of the control members: elections, replication, commit
/// and membership as pure functions over one state.
///
/// Functions take inputs and the time; what is to be done gathers in the state
/// until `TakeOutput`. The host then, in this order: syncs term and vote,
/// snapshot and entries; calls `OnPersisted`; sends the messages; applies the
/// committed entries. Nothing may be sent before the sync.
#ifndef CARDAMOMCHUTE_POLICY_QUORUM_H_
#define CARDAMOMCHUTE_POLICY_QUORUM_H_

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

/// One data folder's life as a member: "VM#incarnation". A VM whose folder
/// was lost comes back under another.
using MemberId = StrongString<struct MemberTag>;
/// A leader's reign in the control quorum.
using QuorumTerm = StrongNumber<struct QuorumTermTag>;
/// Place in the replicated log, from 1; 0 is before the first.
using LogIndex = StrongNumber<struct LogIndexTag>;
/// Counts the confirmations of leadership that one member asked for.
using Round = StrongNumber<struct RoundTag>;

struct QuorumTiming {
  Duration heartbeat = Millis(100);
  /// A follower that hears no leader for this long may stand for election.
  Duration election_min = Millis(500);
  /// Latest start of an election; a leader without a quorum for this long
  /// steps down.
  Duration election_max = Millis(1000);
  /// Pause before a snapshot that was not answered is sent again.
  Duration snapshot_retry = Seconds(2);
};

/// Commands that go into one AppendRequest, a last one that exceeds included.
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

/// The state machine after `last_index`, in place of the entries up to it.
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
  MemberId voted_for;  ///< empty: nobody in this term

  friend bool operator==(const TermAndVote&, const TermAndVote&) = default;
  MSGPACK_DEFINE(term, voted_for)
};

/// What a member finds in its data folder.
struct StoredQuorum {
  TermAndVote vote;
  QuorumSnapshot snapshot;
  std::vector<LogEntry> entries;  ///< contiguous, after the snapshot
};

/// Asks for a vote; `pre` only asks whether one would be given.
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

/// Entries after `previous`, or a heartbeat without any.
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
  LogIndex match;  ///< matched: synced up to here; else: try after this
  Round round;

  MSGPACK_DEFINE(matched, match, round)
};

struct QuorumMessage {
  MemberId from;
  MemberId to;
  QuorumTerm term;  ///< the sender's; for a pre-vote the term it would take
  std::variant<VoteRequest, VoteResponse, AppendRequest, SnapshotRequest,
               AppendResponse>
      body;
};

enum class QuorumRole { kFollower, kPreCandidate, kCandidate, kLeader };

struct QuorumOutput {
  bool save_vote = false;  ///< state.vote changed
  /// Replaces log and state machine; comes before `append`.
  std::optional<QuorumSnapshot> install;
  /// To be synced in order; an index that is there already replaces the tail.
  std::vector<LogEntry> append;
  std::vector<QuorumMessage> messages;
  std::vector<LogEntry> apply;
  /// Rounds up to this one were confirmed by a quorum (leader only).
  Round confirmed;

  bool Empty() const;
};

/// What a leader knows of another member.
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
  QuorumConfig config;        ///< the latest in the log, committed or not
  LogIndex config_index;

  QuorumRole role = QuorumRole::kFollower;
  MemberId leader;  ///< empty: not known
  LogIndex commit;
  LogIndex applied;    ///< handed out in `apply`
  LogIndex persisted;  ///< synced here
  Time election_due;
  Time heartbeat_due;
  std::optional<Time> leader_heard;
  std::set<MemberId> votes;
  std::map<MemberId, MemberProgress> progress;
  Round round;
  Round confirmed;
  bool append_due = false;
  QuorumOutput output;
};

QuorumState MakeQuorum(MemberId self, StoredQuorum stored, QuorumTiming timing,
                       uint64_t seed, Time now);

void OnTick(QuorumState& state, Time now);
void OnMessage(QuorumState& state, const QuorumMessage& message, Time now);

/// All entries up to `index`, of `term`, are synced here.
void OnPersisted(QuorumState& state, LogIndex index, QuorumTerm term, Time now);

/// Appends a command; nothing if this member does not lead.
std::optional<LogIndex> Propose(QuorumState& state, std::string command);

/// Changes the membership, by one voter at most. Refused (kUnavailable) while
/// another change is not committed or the leader has committed nothing yet.
Result<LogIndex> ProposeConfig(QuorumState& state, QuorumConfig config);

/// Starts a round of heartbeats; confirmed once a quorum has answered it and
/// an entry of this term is committed. Nothing if this member does not lead.
std::optional<Round> StartRound(QuorumState& state);

/// Replaces the entries up to `index`, which is applied, by a snapshot; the
/// host stores `state.snapshot` and `state.log`. Does nothing while output
/// waits to be taken: what is not synced may not go into a snapshot.
void Compact(QuorumState& state, LogIndex index, std::string bytes);

QuorumOutput TakeOutput(QuorumState& state, Time now);

/// A member that has answered lately and holds all that is committed.
bool CaughtUp(const QuorumState& state, const MemberId& id, Time now);

LogIndex LastIndex(const QuorumState& state);
/// The term of the entry at `index`, if that is known here.
std::optional<QuorumTerm> TermAt(const QuorumState& state, LogIndex index);
bool IsVoter(const QuorumConfig& config, const MemberId& id);
size_t VoterCount(const QuorumConfig& config);

}  // namespace cardamomchute

MSGPACK_ADD_ENUM(cardamomchute::EntryKind);

#endif  // CARDAMOMCHUTE_POLICY_QUORUM_H_
