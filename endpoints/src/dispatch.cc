// Selects the next waiting statement and its endpoint, and sends it.

#include <algorithm>

#include "cardamomchute/base/log.h"
#include "cardamomchute/policy/sessions/classify.h"
#include "group.h"
#include "group_limits.h"
#include "statement_plan.h"

namespace cardamomchute {
namespace {

/// Returns whether the position query can be pipelined behind the statement.
bool PositionFollows(const Job& job) {
  if (!job.by_primary) return false;
  if (job.in_transaction) {
    std::string_view sql = SimpleQuery(job.statement);
    return !sql.empty() && Classify(sql).kind == SqlKind::kCommit;
  }
  if (job.kind == StatementKind::kWrite) return true;
  return job.kind == StatementKind::kRead && job.exact();
}

}  // namespace

void Group::Dispatch() {
  if (dispatching_) {
    dispatch_again_ = true;
    return;
  }
  dispatching_ = true;
  do {
    dispatch_again_ = false;
    while (queue_.size() > 0 && !stopped_) {
      Time now = Now();
      if (!params_.lease->ValidAt(now)) break;
      bool primary = PrimaryInForce(now) && pool_->FreeSlots(primary_) > 0;
      bool any = std::any_of(
          members_->all().begin(), members_->all().end(),
          [this](const auto& m) { return pool_->FreeSlots(m.first) > 0; });
      std::optional<QueueItem> item = queue_.Next(
          now, {primary, any},
          [this, now](const QueueItem& i) { return CanRun(i, now); });
      if (!item) break;
      auto found = waiting_.find(item->id);
      if (found == waiting_.end()) continue;
      ChannelPtr channel = found->second;
      if (RefuseUnmetFloor(channel, now)) continue;
      Run(channel, chosen_endpoint_);
    }
  } while (dispatch_again_);
  dispatching_ = false;
}

bool Group::CanRun(const QueueItem& item, Time now) {
  auto found = waiting_.find(item.id);
  if (found == waiting_.end()) return true;
  const ChannelPtr& channel = found->second;
  if (item.lane == Lane::kPrimary) {
    chosen_endpoint_ = primary_;
    bool keyed = !channel->job->statement.operation_key.empty();
    if (keyed && !KeysReady()) return false;
    return MayBegin(*channel->job, now);
  }
  if (CheckSessionFloor(channel) != FloorVerdict::kContained) return true;
  ReadRoute route = RouteFor(channel, *channel->job, now);
  chosen_endpoint_ =
      route.to == ReadRoute::Destination::kReplica ? route.replica : primary_;
  if (route.to == ReadRoute::Destination::kReplica) return true;
  return route.to == ReadRoute::Destination::kPrimary && PrimaryInForce(now) &&
         pool_->FreeSlots(primary_) > 0;
}

/// Returns false for a write that no live replica could confirm, so that it is
/// not started.
bool Group::MayBegin(const Job& job, Time now) const {
  if (spec_.ack != AckMode::kReplicated) return true;
  if (job.kind == StatementKind::kRead) return true;
  return members_->AnyReplicaAlive(now);
}

std::vector<ReplicaView> Group::ReplicaViews(Time now) {
  const Member* primary = members_->Find(primary_);
  std::vector<ReplicaView> views;
  for (const auto& [id, member] : members_->all()) {
    if (id == primary_) continue;
    ReplicaView view;
    view.id = id;
    view.usable = members_->Usable(member, now);
    view.replayed = Floor{member.last.term, member.last.replayed};
    view.free_slots = pool_->FreeSlots(id);
    view.same_zone = member.state.zone == params_.zone;
    if (primary != nullptr) {
      std::optional<Time> had_all =
          primary->history.CaughtUpUntil(view.replayed);
      if (had_all) view.staleness = now - *had_all;
      std::optional<Time> past = primary->history.FirstTimePast(view.replayed);
      if (past) {
        view.lag = std::max(Duration(0), member.last_asked - *past);
      }
    }
    views.push_back(std::move(view));
  }
  return views;
}

ReadRoute Group::RouteFor(const ChannelPtr& channel, const Job& job, Time now) {
  SessionFloor& floor = *channel->floor;
  ReadRequest read;
  read.max_staleness = job.statement.max_staleness;
  Floor known{term_, floor.known.position};
  const Member* primary = members_->Find(primary_);
  std::optional<Time> reached;
  if (primary != nullptr) reached = primary->history.FirstTimeAt(known);
  if (reached) read.floor_age = now - *reached;
  if (floor.pending.empty()) {
    read.floor = known;
  } else if (floor.pending.size() == 1) {
    const PendingFloor& pending = floor.pending.front();
    const Member* last = members_->Find(pending.member);
    bool still_there = last != nullptr && !pending.by_primary &&
                       pending.term == term_ &&
                       pending.since > last->broken_at &&
                       last->last.replayed >= known.position;
    if (still_there) read.last_replica = pending.member;
  }
  size_t rank = job.statement.rank.value();
  Duration limit = std::min(kMaxCatchUpWait, (job.deadline - job.arrived) / 4);
  if (rank < ranks_.size() && ranks_[rank].target > Duration(0)) {
    limit = std::min(limit, ranks_[rank].target / 2);
  }
  read.remaining_wait = limit - (now - job.arrived);
  double slot_wait_limit_ms = std::max(5.0, queue_.service_ms(Lane::kAny));
  read.slot_wait_expired =
      static_cast<double>((now - job.arrived).ms()) > slot_wait_limit_ms;
  PrimaryView at_primary;
  at_primary.usable = PrimaryInForce(now);
  at_primary.free_slots = pool_->FreeSlots(primary_);
  at_primary.slots = spec_.slots;
  at_primary.has_waiting_writes = queue_.Waiting(Lane::kPrimary) > 0;
  ReadRoute route = RouteRead(read, ReplicaViews(now), at_primary);
  bool tight = read.max_staleness > Duration(0) &&
               read.max_staleness < kFastProbeStaleness;
  bool positions_missing = route.to == ReadRoute::Destination::kPrimary ||
                           route.to == ReadRoute::Destination::kWaitForPosition;
  if (tight || positions_missing)
    members_->ProbeFastUntil(now + kFastProbePeriod);
  if (route.to == ReadRoute::Destination::kWaitForPosition)
    members_->ProbeNow(now);
  return route;
}

/// Checks whether the current term contains everything up to the session's
/// floor.
FloorVerdict Group::CheckSessionFloor(const ChannelPtr& channel) {
  if (channel->supplied_floor) {
    FloorVerdict verdict =
        CheckFloor(*channel->supplied_floor, term_, term_ends_);
    if (verdict != FloorVerdict::kContained) return verdict;
    RaiseFloor(channel->floor.get(), *channel->supplied_floor);
    channel->supplied_floor.reset();
  }
  ResolveSessionFloor(channel->floor.get());
  return CheckFloor(channel->floor->known, term_, term_ends_);
}

/// Refuses the waiting statement if the current term does not reach its
/// session's floor. Returns whether it was refused.
bool Group::RefuseUnmetFloor(const ChannelPtr& channel, Time now) {
  SessionFloor& floor = *channel->floor;
  FloorVerdict verdict = CheckSessionFloor(channel);
  if (verdict == FloorVerdict::kContained) return false;
  LogLine(LogLevel::kWarn, "floor_refused")
      .Field("group", id_)
      .Field("session", channel->session_key)
      .Field("floor", ToString(channel->supplied_floor.value_or(floor.known)))
      .Field("term", term_);
  if (verdict == FloorVerdict::kUnknownTerm) {
    Refuse(channel,
           {"ERROR", "40001",
            "the session has seen a later term than this VM knows", "",
            "it did not run; retry in a moment"},
           "floor_ahead");
    return true;
  }
  channel->supplied_floor.reset();
  floor = SessionFloor();
  RecordArrival(&floor, now);
  channel->reported_floor = Floor();
  Refuse(channel,
         {"ERROR", "40001",
          "what the session has seen may have been lost in a failover", "",
          "it did not run; check what the session relies on, then go on: the "
          "next statement sees the present state"},
         "floor_lost");
  return true;
}

void Group::Run(const ChannelPtr& channel, const EndpointId& endpoint) {
  JobPtr job = channel->job;
  PooledPtr connection =
      pool_->Acquire(endpoint, channel->session_key, job->statement.setup_hash);
  waiting_.erase(job->id);
  if (!connection) {
    Refuse(channel,
           {"ERROR", "57P03", "the endpoint's connections were lost", "",
            "it did not run; retry"},
           "no_connection");
    return;
  }
  working_[connection->number] = channel;
  job->connection = connection;
  job->endpoint = endpoint;
  job->term = term_;
  job->by_primary = endpoint == primary_;
  channel->slot_since = Now();
  channel->slot_rank = job->statement.rank;
  channel->slot_lane = job->lane;
  metrics_.Queued(job->statement.rank, NowMicros() - job->arrived_micros);
  SendJob(channel, job);
}

void Group::SendJob(const ChannelPtr& channel, const JobPtr& job) {
  PooledConnection* connection = job->connection.get();
  LogLine(LogLevel::kDebug, "route")
      .Field("group", id_)
      .Field("session", channel->session_key)
      .Field("statement", job->statement.number)
      .Field("rank", job->statement.rank)
      .Field("endpoint", job->endpoint)
      .Field("member", job->by_primary ? "primary" : "replica")
      .Field("connection", connection->number)
      .Field("waited_ms", (Now() - job->arrived).ms());
  StatementPlan plan = PlanStatement(connection, job->statement,
                                     channel->session_key, job->in_transaction);
  job->parsed = std::move(plan.parsed);
  std::vector<Exchange> exchanges;
  for (PlanStep step : plan.steps) {
    Exchange step_exchange;
    if (step != PlanStep::kPrepare) {
      step_exchange.on_end = [job](const ExchangeEnd& end) {
        if (end.error && !job->setup_error) job->setup_error = end.error;
      };
    }
    exchanges.push_back(std::move(step_exchange));
  }
  std::string bytes = std::move(plan.bytes);
  AppendRecordKey(channel, job, &bytes, &exchanges);
  exchanges.push_back(RelayExchange(channel, job));
  bytes += job->statement.bytes;
  job->sent = true;
  job->sent_at = Now();
  job->sent_micros = NowMicros();
  job->position_asked = PositionFollows(*job);
  if (job->statement.complete) AppendFollowUp(channel, job, &bytes, &exchanges);
  if (job->plain_read()) job->resend_bytes = std::move(job->statement.bytes);
  std::string().swap(job->statement.bytes);
  connection->wire->Send(std::move(bytes), std::move(exchanges));
}

/// Appends the messages pipelined behind a complete statement.
void Group::AppendFollowUp(const ChannelPtr& channel, const JobPtr& job,
                           std::string* bytes,
                           std::vector<Exchange>* exchanges) {
  if (job->owner_transaction) AppendCommit(channel, job, bytes, exchanges);
  if (job->position_asked) AppendPositionQuery(channel, job, bytes, exchanges);
}

void Group::AppendPositionQuery(const ChannelPtr& channel, const JobPtr& job,
                                std::string* bytes,
                                std::vector<Exchange>* exchanges) {
  job->position_asked = true;
  job->position_asked_at = Now();
  *bytes += pgwire::Query(pgwire::kProbeSql);
  Exchange exchange;
  exchange.on_end = [weak = weak_from_this(), channel,
                     job](const ExchangeEnd& end) {
    std::shared_ptr<Group> group = weak.lock();
    if (group) group->OnPosition(channel, job, end);
  };
  exchanges->push_back(std::move(exchange));
}

Exchange Group::RelayExchange(const ChannelPtr& channel, const JobPtr& job) {
  Exchange exchange;
  exchange.on_piece = [weak = weak_from_this(), channel, job](
                          char type, bool first, std::string_view piece) {
    std::shared_ptr<Group> group = weak.lock();
    if (group) group->OnPiece(channel, job, type, first, piece);
  };
  exchange.on_read_done = [weak = weak_from_this(), channel] {
    std::shared_ptr<Group> group = weak.lock();
    if (group) group->Flush(channel);
  };
  exchange.on_end = [weak = weak_from_this(), channel,
                     job](const ExchangeEnd& end) {
    std::shared_ptr<Group> group = weak.lock();
    if (group) group->OnAnswerEnd(channel, job, end);
  };
  return exchange;
}

}  // namespace cardamomchute
