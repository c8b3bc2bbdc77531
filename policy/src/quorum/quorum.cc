#include "cardamomchute/policy/quorum/quorum.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "quorum_log.h"

namespace cardamomchute {
namespace {

uint64_t NextRandom(QuorumState& state) {
  state.random ^= state.random << 13;
  state.random ^= state.random >> 7;
  state.random ^= state.random << 17;
  return state.random;
}

void ResetElection(QuorumState& state, Time now) {
  int64_t span =
      (state.timing.election_max - state.timing.election_min).ms() + 1;
  int64_t extra =
      static_cast<int64_t>(NextRandom(state) % static_cast<uint64_t>(span));
  state.election_due = now + state.timing.election_min + Millis(extra);
}

QuorumTerm LastTerm(const QuorumState& state) {
  return state.log.empty() ? state.snapshot.last_term : state.log.back().term;
}

LogIndex Before(LogIndex index) {
  return LogIndex(index.value() == 0 ? 0 : index.value() - 1);
}

void FindConfig(QuorumState& state) {
  for (auto it = state.log.rbegin(); it != state.log.rend(); ++it) {
    if (it->kind != EntryKind::kConfig) continue;
    state.config = it->config;
    state.config_index = it->index;
    return;
  }
  state.config = state.snapshot.config;
  state.config_index = state.snapshot.last_index;
}

void Send(QuorumState& state, const MemberId& to,
          decltype(QuorumMessage::body) body) {
  state.output.messages.push_back(
      QuorumMessage{state.self, to, state.vote.term, std::move(body)});
}

void BecomeFollower(QuorumState& state, QuorumTerm term, Time now) {
  bool newer = term > state.vote.term;
  if (newer) {
    state.vote = TermAndVote{term, MemberId()};
    state.output.save_vote = true;
  }
  bool led = state.role == QuorumRole::kLeader;
  if (newer || led) state.leader = MemberId();
  if (state.role != QuorumRole::kFollower) ResetElection(state, now);
  state.role = QuorumRole::kFollower;
  state.votes.clear();
  state.progress.clear();
}

void Append(QuorumState& state, LogEntry entry) {
  state.output.append.push_back(entry);
  if (entry.kind == EntryKind::kConfig) {
    state.config = entry.config;
    state.config_index = entry.index;
  }
  state.log.push_back(std::move(entry));
}

LogIndex AppendOwn(QuorumState& state, EntryKind kind, std::string command,
                   QuorumConfig config) {
  LogIndex index = LastIndex(state).Next();
  Append(state, LogEntry{index, state.vote.term, kind, std::move(command),
                         std::move(config)});
  state.append_due = true;
  return index;
}

/// Adds progress records for new members and removes those of former ones.
void SyncProgress(QuorumState& state, Time now) {
  for (const auto& [id, member] : state.config.members) {
    if (id == state.self || state.progress.contains(id)) continue;
    MemberProgress fresh;
    fresh.next = LastIndex(state).Next();
    fresh.last_answer = now;
    state.progress.emplace(id, fresh);
  }
  std::erase_if(state.progress, [&state](const auto& item) {
    return !state.config.members.contains(item.first);
  });
}

void BecomeLeader(QuorumState& state, Time now) {
  state.role = QuorumRole::kLeader;
  state.leader = state.self;
  state.votes.clear();
  state.progress.clear();
  state.heartbeat_due = now;
  state.confirmed = state.round;
  state.round_started.clear();
  state.confirmed_at.reset();
  state.round = state.round.Next();
  SyncProgress(state, now);
  AppendOwn(state, EntryKind::kNoop, "", QuorumConfig());
}

bool IsQuorum(const QuorumState& state, size_t count) {
  return count * 2 > VoterCount(state.config);
}

void RequestVotes(QuorumState& state, bool pre) {
  VoteRequest request{pre, LastIndex(state), LastTerm(state)};
  QuorumTerm term = pre ? state.vote.term.Next() : state.vote.term;
  for (const auto& [id, member] : state.config.members) {
    if (id == state.self || !member.voter) continue;
    state.output.messages.push_back(
        QuorumMessage{state.self, id, term, request});
  }
}

void StartElection(QuorumState& state, Time now) {
  state.role = QuorumRole::kCandidate;
  state.leader = MemberId();
  state.vote = TermAndVote{state.vote.term.Next(), state.self};
  state.output.save_vote = true;
  state.votes = {state.self};
  ResetElection(state, now);
  if (IsQuorum(state, state.votes.size())) return BecomeLeader(state, now);
  RequestVotes(state, false);
}

void StartPreVote(QuorumState& state, Time now) {
  ResetElection(state, now);
  if (!IsVoter(state.config, state.self)) return;
  state.role = QuorumRole::kPreCandidate;
  state.leader = MemberId();
  state.votes = {state.self};
  if (IsQuorum(state, state.votes.size())) return StartElection(state, now);
  RequestVotes(state, true);
}

bool UpToDate(const QuorumState& state, const VoteRequest& request) {
  if (request.last_term != LastTerm(state)) {
    return request.last_term > LastTerm(state);
  }
  return request.last_index >= LastIndex(state);
}

bool HasRecentLeader(const QuorumState& state, Time now) {
  if (state.role == QuorumRole::kLeader) return true;
  if (!state.leader_heard || state.leader.empty()) return false;
  return now - *state.leader_heard < state.timing.election_min;
}

void OnPreVoteRequest(QuorumState& state, const QuorumMessage& message,
                      const VoteRequest& request, Time now) {
  bool granted = message.term > state.vote.term && UpToDate(state, request) &&
                 !HasRecentLeader(state, now) && !state.disk_refuses;
  Send(state, message.from, VoteResponse{true, granted});
}

void OnVoteRequest(QuorumState& state, const QuorumMessage& message,
                   const VoteRequest& request, Time now) {
  bool free =
      state.vote.voted_for.empty() || state.vote.voted_for == message.from;
  bool granted = message.term == state.vote.term && free &&
                 UpToDate(state, request) && !state.disk_refuses;
  if (granted && state.vote.voted_for.empty()) {
    state.vote.voted_for = message.from;
    state.output.save_vote = true;
  }
  if (granted) ResetElection(state, now);
  Send(state, message.from, VoteResponse{false, granted});
}

void OnVoteResponse(QuorumState& state, const QuorumMessage& message,
                    const VoteResponse& answer, Time now) {
  QuorumRole expected =
      answer.pre ? QuorumRole::kPreCandidate : QuorumRole::kCandidate;
  if (state.role != expected || !answer.granted) return;
  if (!answer.pre && message.term != state.vote.term) return;
  if (!IsVoter(state.config, message.from)) return;
  state.votes.insert(message.from);
  if (!IsQuorum(state, state.votes.size())) return;
  if (answer.pre) return StartElection(state, now);
  BecomeLeader(state, now);
}

void CommitTo(QuorumState& state, LogIndex index) {
  if (index <= state.commit) return;
  state.commit = index;
  while (state.applied < state.commit) {
    size_t offset = OffsetAfter(state, state.applied);
    state.output.apply.push_back(state.log[offset]);
    state.applied = state.applied.Next();
  }
}

/// Returns the highest value that a quorum of voters has reached.
template <typename Value, typename Get>
Value QuorumValue(const QuorumState& state, Value own, Get get) {
  std::vector<Value> values;
  for (const auto& [id, member] : state.config.members) {
    if (!member.voter) continue;
    if (id == state.self) {
      values.push_back(own);
      continue;
    }
    auto it = state.progress.find(id);
    values.push_back(it == state.progress.end() ? Value() : get(it->second));
  }
  if (values.empty()) return Value();
  std::sort(values.rbegin(), values.rend());
  return values[values.size() / 2];
}

void AdvanceRound(QuorumState& state) {
  if (TermAt(state, state.commit) != state.vote.term) return;
  Round reached = QuorumValue<Round>(
      state, state.round, [](const MemberProgress& p) { return p.acked; });
  if (reached <= state.confirmed) return;
  state.confirmed = reached;
  state.output.confirmed = reached;
  auto later = state.round_started.upper_bound(reached);
  if (later != state.round_started.begin())
    state.confirmed_at = std::prev(later)->second;
  state.round_started.erase(state.round_started.begin(), later);
}

void AdvanceCommit(QuorumState& state, Time now) {
  LogIndex reached = QuorumValue<LogIndex>(
      state, state.persisted, [](const MemberProgress& p) { return p.match; });
  if (reached <= state.commit) return;
  // Raft commits by counting replicas only for entries of the current term;
  // earlier entries are committed along with them.
  if (TermAt(state, reached) != state.vote.term) return;
  CommitTo(state, reached);
  state.append_due = true;
  AdvanceRound(state);
  bool removed = state.config_index <= state.commit &&
                 !state.config.members.contains(state.self);
  if (removed) BecomeFollower(state, state.vote.term, now);
}

/// Returns the index after which the leader should retry when the entry at
/// `index` did not match. Skips the whole conflicting term.
LogIndex MatchHint(const QuorumState& state, LogIndex index) {
  if (index > LastIndex(state)) return LastIndex(state);
  std::optional<QuorumTerm> conflicting = TermAt(state, index);
  LogIndex at = Before(index);
  while (at > state.commit && TermAt(state, at) == conflicting) {
    at = Before(at);
  }
  return at;
}

void TruncateAfter(QuorumState& state, LogIndex index) {
  state.log.resize(OffsetAfter(state, index));
  state.persisted = std::min(state.persisted, index);
  if (state.config_index > index) FindConfig(state);
}

void MergeEntry(QuorumState& state, const LogEntry& entry) {
  if (entry.index <= state.snapshot.last_index) return;
  if (TermAt(state, entry.index) == entry.term) return;
  if (entry.index <= LastIndex(state)) {
    TruncateAfter(state, Before(entry.index));
  }
  Append(state, entry);
}

void FollowLeader(QuorumState& state, const QuorumMessage& message, Time now) {
  BecomeFollower(state, message.term, now);
  state.leader = message.from;
  state.leader_heard = now;
  ResetElection(state, now);
}

bool IsContiguous(const AppendRequest& request) {
  LogIndex expected = request.previous_index;
  for (const LogEntry& entry : request.entries) {
    expected = expected.Next();
    if (entry.index != expected) return false;
  }
  return true;
}

/// Confirms the entries up to `match`. While the disk refuses writes, only
/// those that were synced before.
AppendResponse Matched(const QuorumState& state, LogIndex match, Round round) {
  if (state.disk_refuses) match = std::min(match, state.persisted);
  return AppendResponse{true, match, round};
}

void OnAppendRequest(QuorumState& state, const QuorumMessage& message,
                     const AppendRequest& request, Time now) {
  if (message.term < state.vote.term) {
    return Send(state, message.from,
                AppendResponse{false, LogIndex(), request.round});
  }
  if (!IsContiguous(request)) return;
  FollowLeader(state, message, now);
  bool known = request.previous_index <= state.snapshot.last_index ||
               TermAt(state, request.previous_index) == request.previous_term;
  if (!known) {
    LogIndex hint = MatchHint(state, request.previous_index);
    return Send(state, message.from,
                AppendResponse{false, hint, request.round});
  }
  for (const LogEntry& entry : request.entries) MergeEntry(state, entry);
  LogIndex match(request.previous_index.value() + request.entries.size());
  CommitTo(state, std::min(request.commit, match));
  Send(state, message.from, Matched(state, match, request.round));
}

void InstallSnapshot(QuorumState& state, const QuorumSnapshot& snapshot) {
  bool keep_tail = TermAt(state, snapshot.last_index) == snapshot.last_term;
  std::vector<LogEntry> tail;
  if (keep_tail) {
    size_t offset = OffsetAfter(state, snapshot.last_index);
    tail.assign(state.log.begin() + static_cast<ptrdiff_t>(offset),
                state.log.end());
  }
  state.snapshot = snapshot;
  state.log = std::move(tail);
  state.commit = snapshot.last_index;
  state.applied = snapshot.last_index;
  state.persisted = state.disk_refuses ? LogIndex() : snapshot.last_index;
  FindConfig(state);
  state.output.install = snapshot;
  state.output.append = state.log;
  state.output.apply.clear();
}

void OnSnapshotRequest(QuorumState& state, const QuorumMessage& message,
                       const SnapshotRequest& request, Time now) {
  if (message.term < state.vote.term) {
    return Send(state, message.from,
                AppendResponse{false, LogIndex(), request.round});
  }
  FollowLeader(state, message, now);
  if (request.snapshot.last_index > state.commit) {
    InstallSnapshot(state, request.snapshot);
  }
  Send(state, message.from, Matched(state, state.commit, request.round));
}

void OnAppendResponse(QuorumState& state, const QuorumMessage& message,
                      const AppendResponse& answer, Time now) {
  if (state.role != QuorumRole::kLeader) return;
  if (message.term != state.vote.term) return;
  if (answer.match > LastIndex(state) || answer.round > state.round) return;
  auto it = state.progress.find(message.from);
  if (it == state.progress.end()) return;
  MemberProgress& progress = it->second;
  progress.last_answer = now;
  progress.acked = std::max(progress.acked, answer.round);
  if (answer.matched) {
    progress.match = std::max(progress.match, answer.match);
    progress.next = std::max(progress.next, progress.match.Next());
    bool needs_snapshot = progress.next <= state.snapshot.last_index;
    if (!needs_snapshot) progress.snapshot_sent.reset();
  } else {
    progress.next = std::max(progress.match, answer.match).Next();
    state.append_due = true;
  }
  AdvanceCommit(state, now);
  AdvanceRound(state);
}

void SendSnapshot(QuorumState& state, const MemberId& id,
                  MemberProgress& progress, Time now) {
  bool waiting = progress.snapshot_sent &&
                 now - *progress.snapshot_sent < state.timing.snapshot_retry;
  if (waiting) return;
  progress.snapshot_sent = now;
  Send(state, id, SnapshotRequest{state.round, state.snapshot});
}

AppendRequest NextAppend(const QuorumState& state,
                         const MemberProgress& progress) {
  AppendRequest request;
  request.previous_index = Before(progress.next);
  request.previous_term =
      TermAt(state, request.previous_index).value_or(QuorumTerm());
  request.commit = state.commit;
  request.round = state.round;
  size_t bytes = 0;
  size_t offset = OffsetAfter(state, request.previous_index);
  for (; offset < state.log.size() && bytes < state.max_append_bytes;
       ++offset) {
    bytes += state.log[offset].command.size();
    request.entries.push_back(state.log[offset]);
  }
  return request;
}

/// Returns a heartbeat for a member that is waiting for a snapshot.
AppendRequest SnapshotHeartbeat(const QuorumState& state) {
  AppendRequest request;
  request.previous_index = state.snapshot.last_index;
  request.previous_term = state.snapshot.last_term;
  request.round = state.round;
  return request;
}

void SendAppends(QuorumState& state, bool heartbeat, Time now) {
  for (auto& [id, progress] : state.progress) {
    if (progress.next <= state.snapshot.last_index) {
      SendSnapshot(state, id, progress, now);
      if (heartbeat) Send(state, id, SnapshotHeartbeat(state));
      continue;
    }
    bool nothing_new = progress.next > LastIndex(state);
    if (nothing_new && !heartbeat) continue;
    AppendRequest request = NextAppend(state, progress);
    if (!request.entries.empty()) {
      progress.next = request.entries.back().index.Next();
    }
    Send(state, id, std::move(request));
  }
}

bool HasQuorum(const QuorumState& state, Time now) {
  size_t count = IsVoter(state.config, state.self) ? 1 : 0;
  for (const auto& [id, progress] : state.progress) {
    bool recent = now - progress.last_answer < state.timing.election_max;
    if (recent && IsVoter(state.config, id)) ++count;
  }
  return IsQuorum(state, count);
}

void OnLeaderTick(QuorumState& state, Time now) {
  if (!HasQuorum(state, now)) {
    return BecomeFollower(state, state.vote.term, now);
  }
  if (now < state.heartbeat_due) return;
  StartRound(state);
}

size_t VoterDifference(const QuorumConfig& a, const QuorumConfig& b) {
  size_t count = 0;
  for (const auto& [id, member] : a.members) {
    if (member.voter && !IsVoter(b, id)) ++count;
  }
  for (const auto& [id, member] : b.members) {
    if (member.voter && !IsVoter(a, id)) ++count;
  }
  return count;
}

}  // namespace

bool QuorumOutput::Empty() const {
  return !save_vote && !install && append.empty() && messages.empty() &&
         apply.empty() && confirmed == Round();
}

QuorumState MakeQuorum(MemberId self, StoredQuorum stored, QuorumTiming timing,
                       uint64_t seed, Time now) {
  QuorumState state;
  state.self = std::move(self);
  state.timing = timing;
  state.random = seed * 0x9e3779b97f4a7c15ULL + 1;
  state.vote = stored.vote;
  state.snapshot = std::move(stored.snapshot);
  state.log = std::move(stored.entries);
  state.commit = state.snapshot.last_index;
  state.applied = state.snapshot.last_index;
  state.persisted = LastIndex(state);
  FindConfig(state);
  ResetElection(state, now);
  return state;
}

void OnTick(QuorumState& state, Time now) {
  if (state.role == QuorumRole::kLeader) return OnLeaderTick(state, now);
  if (state.disk_refuses) return;
  if (now >= state.election_due) StartPreVote(state, now);
}

void OnMessage(QuorumState& state, const QuorumMessage& message, Time now) {
  if (message.to != state.self || message.from == state.self) return;
  const VoteRequest* vote = std::get_if<VoteRequest>(&message.body);
  if (vote != nullptr && vote->pre) {
    return OnPreVoteRequest(state, message, *vote, now);
  }
  if (message.term > state.vote.term) BecomeFollower(state, message.term, now);
  if (vote != nullptr) return OnVoteRequest(state, message, *vote, now);
  if (const auto* answer = std::get_if<VoteResponse>(&message.body)) {
    return OnVoteResponse(state, message, *answer, now);
  }
  if (const auto* append = std::get_if<AppendRequest>(&message.body)) {
    return OnAppendRequest(state, message, *append, now);
  }
  if (const auto* snapshot = std::get_if<SnapshotRequest>(&message.body)) {
    return OnSnapshotRequest(state, message, *snapshot, now);
  }
  OnAppendResponse(state, message, std::get<AppendResponse>(message.body), now);
}

void OnPersisted(QuorumState& state, LogIndex index, QuorumTerm term,
                 Time now) {
  if (TermAt(state, index) != term) return;
  state.persisted = std::max(state.persisted, index);
  if (state.role == QuorumRole::kLeader) AdvanceCommit(state, now);
}

void OnDiskRefused(QuorumState& state, const QuorumOutput& output, Time now) {
  state.disk_refuses = true;
  if (output.install) state.persisted = LogIndex();
  if (state.role != QuorumRole::kFollower)
    BecomeFollower(state, state.vote.term, now);
}

void OnDiskRecovered(QuorumState& state, Time now) {
  state.disk_refuses = false;
  state.persisted = LastIndex(state);
  ResetElection(state, now);
}

std::optional<LogIndex> Propose(QuorumState& state, std::string command) {
  if (state.role != QuorumRole::kLeader) return std::nullopt;
  return AppendOwn(state, EntryKind::kCommand, std::move(command),
                   QuorumConfig());
}

Result<LogIndex> ProposeConfig(QuorumState& state, QuorumConfig config) {
  if (state.role != QuorumRole::kLeader) {
    return Error{ErrorKind::kNotLeader, "this member is not the leader",
                 "ask the leader"};
  }
  bool settled = state.config_index <= state.commit &&
                 TermAt(state, state.commit) == state.vote.term;
  if (!settled) {
    return Error{ErrorKind::kUnavailable,
                 "another membership change is not committed yet",
                 "try again shortly"};
  }
  bool too_much = VoterDifference(state.config, config) > 1;
  if (too_much || VoterCount(config) == 0) {
    return Error{ErrorKind::kInvalidInput,
                 "membership changes by one voter at a time",
                 "add or remove one member, then the next"};
  }
  return AppendOwn(state, EntryKind::kConfig, "", std::move(config));
}

std::optional<Round> StartRound(QuorumState& state) {
  if (state.role != QuorumRole::kLeader) return std::nullopt;
  state.round = state.round.Next();
  state.heartbeat_due = Time();
  return state.round;
}

void Compact(QuorumState& state, LogIndex index, std::string bytes) {
  if (!state.output.Empty()) return;
  if (index <= state.snapshot.last_index || index > state.applied) return;
  QuorumSnapshot snapshot;
  snapshot.last_index = index;
  snapshot.last_term = *TermAt(state, index);
  snapshot.config = state.snapshot.config;
  snapshot.state = std::move(bytes);
  size_t offset = OffsetAfter(state, index);
  for (size_t i = 0; i < offset; ++i) {
    if (state.log[i].kind == EntryKind::kConfig) {
      snapshot.config = state.log[i].config;
    }
  }
  state.log.erase(state.log.begin(),
                  state.log.begin() + static_cast<ptrdiff_t>(offset));
  state.snapshot = std::move(snapshot);
}

QuorumOutput TakeOutput(QuorumState& state, Time now) {
  if (state.role == QuorumRole::kLeader) {
    SyncProgress(state, now);
    state.round_started.try_emplace(state.round, now);
    bool heartbeat = now >= state.heartbeat_due;
    if (heartbeat) state.heartbeat_due = now + state.timing.heartbeat;
    if (heartbeat || state.append_due) SendAppends(state, heartbeat, now);
    AdvanceRound(state);
  }
  state.append_due = false;
  return std::exchange(state.output, QuorumOutput());
}

}  // namespace cardamomchute
