/// Monitoring and replacement of primaries by the leading control member.
#include <algorithm>
#include <set>

#include "cardamomchute/base/log.h"
#include "cardamomchute/fleet/fleet_controller.h"

namespace cardamomchute {
namespace {

/// An endpoint without an announcement for this long is treated as lost along
/// with its log, and is no longer counted as a member of its group.
constexpr Duration kLostForGood = Seconds(15);
/// Minimum interval between two checks of the same group.
constexpr Duration kReviewInterval = Millis(300);
/// An endpoint's claim to be primary expires this long after its last
/// announcement.
constexpr Duration kClaimValid = Millis(2500);
/// Interval between checks of contradictory claims, and the time a new primary
/// has to announce itself as such.
constexpr Duration kContradictionInterval = Seconds(2);
/// Minimum interval between two checks of a group's replica lag.
constexpr Duration kLagCheckInterval = Millis(500);
/// Delay of the next replica lag check after the primary has changed.
constexpr Duration kLagCheckDelayAfterChange = Seconds(5);
/// Fence tokens per control term; tokens of a term are lower than those of the
/// next.
constexpr uint64_t kTokensPerTerm = 1 << 20;

}  // namespace

bool FleetController::IsLostForGood(const EndpointId& endpoint,
                                    Time now) const {
  auto heard = directory_.endpoint_heard.find(endpoint);
  return heard != directory_.endpoint_heard.end() &&
         now - heard->second > kLostForGood;
}

std::vector<EndpointRecord> FleetController::CountedMembers(
    const GroupId& group) const {
  std::vector<EndpointRecord> counted;
  Time now = Now();
  for (const EndpointRecord* member : MembersOf(directory_, group)) {
    if (!IsLostForGood(member->id, now)) counted.push_back(*member);
  }
  return counted;
}

bool FleetController::HasRecentLoss(const GroupId& group, Time now) const {
  auto ids = directory_.endpoints_of.find(group);
  if (ids == directory_.endpoints_of.end()) return false;
  auto primary = directory_.primaries.find(group);
  return std::any_of(
      ids->second.begin(), ids->second.end(), [&](const EndpointId& id) {
        bool was_primary = primary != directory_.primaries.end() &&
                           primary->second.endpoint == id;
        return directory_.endpoints.at(id).gone && !was_primary &&
               !IsLostForGood(id, now);
      });
}

void FleetController::NoteCopies(const GroupId& group) {
  if (!host_->leading() || replacements_.contains(group)) return;
  Time now = Now();
  auto [known, is_new] = copies_.try_emplace(group);
  if (is_new && HasRecentLoss(group, now)) known->second.lost_at = now;
  std::vector<const EndpointRecord*> members = MembersOf(directory_, group);
  std::erase_if(members, [this, now](const EndpointRecord* member) {
    return IsLostForGood(member->id, now);
  });
  auto primary = directory_.primaries.find(group);
  EndpointId recorded;
  if (primary != directory_.primaries.end())
    recorded = primary->second.endpoint;
  NoteMembers(&known->second, members, recorded, now);
}

void FleetController::ReviewPrimaries(Time now) {
  const Layout* layout = ParsedLayout();
  if (layout == nullptr) return;
  for (const auto& [group, limits] : layout->groups) {
    if (!replacements_.contains(group)) ReviewPrimary(group, now);
  }
}

void FleetController::ReviewPrimary(const GroupId& group, Time now) {
  std::vector<const EndpointRecord*> members = MembersOf(directory_, group);
  std::vector<const EndpointRecord*> claimants;
  for (const EndpointRecord* member : members) {
    if (!member->claims_primary) continue;
    auto heard = directory_.endpoint_heard.find(member->id);
    bool fresh = heard != directory_.endpoint_heard.end() &&
                 now - heard->second < kClaimValid;
    if (fresh) claimants.push_back(member);
  }
  const EndpointRecord* primary = CurrentPrimary(directory_, group);
  auto known = directory_.primaries.find(group);
  bool never_known = known == directory_.primaries.end();
  if (never_known && claimants.size() == 1)
    return SetPrimary(group, claimants.front()->id, Term());
  if (never_known && claimants.empty()) return;
  if (now < next_review_[group]) return;
  bool contradicted = primary == nullptr ||
                      std::any_of(claimants.begin(), claimants.end(),
                                  [primary](const EndpointRecord* claimant) {
                                    return claimant->id != primary->id;
                                  }) ||
                      (!primary->claims_primary &&
                       now >= primary_set_at_[group] + kContradictionInterval);
  if (primary != nullptr && primary->leaving) {
    bool can_follow =
        std::any_of(members.begin(), members.end(),
                    [primary](const EndpointRecord* member) {
                      return member->id != primary->id && !member->leaving;
                    });
    if (can_follow)
      return ReplacePrimary(group, PrimaryReplacementCause::kLeaving);
  }
  if (contradicted)
    return ReplacePrimary(group, PrimaryReplacementCause::kReview);
  // A lease is granted only on a primary that this leader has confirmed.
  if (!OrdersOf(group).empty())
    return ReplacePrimary(group, PrimaryReplacementCause::kReview);
  auto copies = copies_.find(group);
  bool check_due =
      copies != copies_.end() && IsCopyCheckDue(copies->second, now);
  if (!confirmed_.contains(group) || check_due)
    ReplacePrimary(group, PrimaryReplacementCause::kConfirm);
}

std::optional<GrantableLeases> FleetController::Grantable() const {
  if (!host_ || !host_->leading()) return std::nullopt;
  std::optional<Time> confirmed_at = host_->quorum().confirmed_at;
  if (!confirmed_at || Now() >= LeaseEnd(*confirmed_at)) return std::nullopt;
  GrantableLeases leases;
  leases.until = LeaseEnd(*confirmed_at);
  for (const GroupId& group : confirmed_) {
    auto primary = directory_.primaries.find(group);
    if (primary != directory_.primaries.end()) {
      leases.primaries[group] =
          LeasedPrimary{primary->second.endpoint, primary->second.term};
    }
  }
  return leases;
}

bool FleetController::KnowsOrders() const {
  return applied_term_ == host_->quorum().vote.term;
}

const PromotionOrders& FleetController::OrdersOf(const GroupId& group) const {
  static const PromotionOrders none;
  auto orders = orders_.find(group);
  return orders == orders_.end() ? none : orders->second;
}

void FleetController::RecordOrders(const GroupId& group,
                                   const PromotionOrders& orders,
                                   std::function<void(Time)> done) {
  Time asked = Now();
  std::optional<LogIndex> index =
      host_->ProposeBytes(Pack(ReplicatedState{0, "", {{group, orders}}}));
  if (!index) {
    LogLine(LogLevel::kInfo, "orders_not_recorded").Field("group", group);
    return;
  }
  pending_[*index] =
      PendingPut{host_->quorum().vote.term,
                 [asked, done = std::move(done)](const LayoutResult& recorded) {
                   if (recorded.outcome == CallOutcome::kDone)
                     done(OrderWindowEnd(asked));
                 }};
}

void FleetController::OnTrouble(const TroubleReport& report) {
  if (!host_->leading()) {
    SendToLeader(report);
    return;
  }
  if (report.trouble == EndpointProblem::kLagging) return OnLagging(report);
  const EndpointRecord* primary = CurrentPrimary(directory_, report.group);
  bool of_primary = primary != nullptr && primary->id == report.endpoint;
  if (!of_primary) return;
  PrimaryReplacementCause cause = report.trouble == EndpointProblem::kStalled
                                      ? PrimaryReplacementCause::kStalled
                                      : PrimaryReplacementCause::kTrouble;
  auto running = replacements_.find(report.group);
  if (running != replacements_.end()) return running->second->Suspect(cause);
  bool just_set = Now() - primary_set_at_[report.group] < kReviewInterval;
  if (just_set) return;
  LogLine(LogLevel::kInfo, "lead_trouble")
      .Field("group", report.group)
      .Field("endpoint", report.endpoint)
      .Field("trouble", ToString(report.trouble))
      .Field("observer", report.observer);
  ReplacePrimary(report.group, cause);
}

/// Handles a replica that exceeds the staleness that reads allow. If all
/// replicas do, the primary has to serve all reads, and is replaced: a promoted
/// replica applies everything it has received, and the former primary has
/// nothing left to apply.
void FleetController::OnLagging(const TroubleReport& report) {
  // A new control leader may not have applied its log yet.
  const Layout* layout = ParsedLayout();
  if (layout == nullptr) return;
  std::optional<Duration> bound = StrictestStaleness(*layout, report.group);
  if (!bound || replacements_.contains(report.group)) return;
  if (Now() < next_lag_look_[report.group]) return;
  next_lag_look_[report.group] = Now() + kLagCheckInterval;
  ReplacePrimary(report.group, PrimaryReplacementCause::kLagging, *bound);
}

void FleetController::SetPrimary(const GroupId& group,
                                 const EndpointId& endpoint, Term term) {
  auto known = directory_.primaries.find(group);
  bool same = known != directory_.primaries.end() &&
              known->second.endpoint == endpoint &&
              (known->second.term == term || term == Term());
  if (same) return;
  PrimaryRecord primary;
  primary.endpoint = endpoint;
  primary.control_term = host_->quorum().vote.term.value();
  primary.change = ++changes_;
  primary.term = term;
  primary_set_at_[group] = Now();
  bool moved =
      known != directory_.primaries.end() && known->second.endpoint != endpoint;
  if (moved) next_lag_look_[group] = Now() + kLagCheckDelayAfterChange;
  LogLine(LogLevel::kInfo, "lead_set")
      .Field("group", group)
      .Field("endpoint", endpoint)
      .Field("term", term)
      .Field("reign", primary.control_term)
      .Field("change", primary.change);
  DirectoryDelta delta;
  delta.primaries[group] = primary;
  TakeDelta(delta, false);
  Flush();
}

/// Another leader may have been elected, and have sent orders that this one
/// does not know: the group counts as confirmed once a quorum says otherwise.
void FleetController::ConfirmPrimary(const GroupId& group) {
  uint64_t doubts = doubts_[group];
  rounds_.Add({[this, group, doubts] {
                 if (doubts_[group] == doubts) confirmed_.insert(group);
               },
               [] {}});
}

PrimaryReplacementParams FleetController::ReplacementParams(
    const GroupId& group, PrimaryReplacementCause cause, Duration lag_bound) {
  PrimaryReplacementParams params;
  params.executor = params_.io->get_executor();
  params.protocol = &params_.endpoint_protocol;
  params.group = group;
  params.holder = params_.name;
  auto primary = directory_.primaries.find(group);
  if (primary != directory_.primaries.end())
    params.run.recorded = primary->second.endpoint;
  params.run.cause = cause;
  params.run.lag_bound = lag_bound;
  params.run.confirmed = confirmed_.contains(group);
  params.run.orders = OrdersOf(group);
  params.run.copies = copies_[group];
  if (!params_.fencing) params.run.first_order_at = leases_.FirstOrderAt();
  params.run.next_token = [this] {
    return host_->quorum().vote.term.value() * kTokensPerTerm + ++tokens_;
  };
  params.members = [this, group] { return CountedMembers(group); };
  params.end_leases = [this, group](std::function<void()> done) {
    leases_.Revoke(group, std::move(done));
  };
  params.record_orders = [this, group](const PromotionOrders& orders,
                                       std::function<void(Time)> done) {
    RecordOrders(group, orders, std::move(done));
  };
  params.promote = params_.promote;
  params.on_unconfirmed = [this, group] {
    confirmed_.erase(group);
    ++doubts_[group];
  };
  params.on_confirmed = [this, group] { ConfirmPrimary(group); };
  params.adopt = [this, group](const EndpointId& endpoint, Term term) {
    auto known = directory_.primaries.find(group);
    bool same = known != directory_.primaries.end() &&
                known->second.endpoint == endpoint &&
                known->second.term == term;
    if (!same) confirmed_.erase(group);
    SetPrimary(group, endpoint, term);
  };
  params.done = [this, group, cause](const GroupCopies& copies) {
    copies_[group] = copies;
    bool review = cause == PrimaryReplacementCause::kReview;
    next_review_[group] =
        Now() + (review ? kContradictionInterval : kReviewInterval);
    replacements_.erase(group);
    NoteCopies(group);
  };
  return params;
}

void FleetController::ReplacePrimary(const GroupId& group,
                                     PrimaryReplacementCause cause,
                                     Duration lag_bound) {
  if (!KnowsOrders()) return;
  NoteCopies(group);
  std::shared_ptr<PrimaryReplacement> run =
      std::make_shared<PrimaryReplacement>(
          ReplacementParams(group, cause, lag_bound));
  replacements_[group] = run;
  run->Start();
}

}  // namespace cardamomchute
