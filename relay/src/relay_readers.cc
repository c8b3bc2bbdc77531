/// Which endpoint takes a read, and what this relay learns from its answers.
#include <algorithm>

#include "cardamomchute/base/log.h"
#include "cardamomchute/relay/relay.h"
#include "relay_timing.h"

namespace cardamomchute {
namespace {

/// A report of an endpoint's slowdown says nothing later than this.
constexpr Duration kSlowdownValid = Seconds(1);
/// A slowdown below this, in percent, counts as none.
constexpr uint64_t kSlowdownMin = 200;
constexpr double kPercent = 100;
/// A replica that lacked a position, or that its holder could not reach, is
/// passed over this long.
constexpr Duration kLagPauseMin = Millis(50);
constexpr Duration kLagPauseMax = Millis(400);

AttemptResult ResultOf(const RunAnswer& answer) {
  if (answer.slowdown_percent == 0) return AttemptResult::kNeutral;
  switch (answer.outcome) {
    case StatementStatus::kDone:
      return AttemptResult::kDone;
    case StatementStatus::kBusy:
      // A holder refuses without having sent the statement.
      return answer.service > Duration() ? AttemptResult::kRefused
                                         : AttemptResult::kNeutral;
    case StatementStatus::kTimeout:
      return AttemptResult::kSilent;
    case StatementStatus::kFailed:
    case StatementStatus::kUnknown:
    case StatementStatus::kUnreachable:
      return AttemptResult::kFailed;
    default:
      return AttemptResult::kNeutral;
  }
}

}  // namespace

/// A replica that lags is passed over for longer each time.
void Relay::NoteLag(const EndpointId& endpoint, Duration max_staleness,
                    bool lagging) {
  if (!lagging) {
    lagging_.erase({endpoint, max_staleness});
    return;
  }
  Lag& lag = lagging_[{endpoint, max_staleness}];
  Time now = Now();
  if (now < lag.until) return;
  lag.pause = std::clamp(lag.pause * 2, kLagPauseMin, kLagPauseMax);
  lag.until = now + lag.pause;
}

bool Relay::MayRead(const EndpointRecord& member, Duration max_staleness,
                    const std::set<EndpointId>& tried,
                    const OrganisationName& organisation) const {
  if (member.leaving || tried.contains(member.id)) return false;
  auto lag = lagging_.find({member.id, max_staleness});
  bool lags = lag != lagging_.end() && Now() < lag->second.until;
  return !lags && HolderAddressOf(member.id, organisation).has_value();
}

ReadCandidate Relay::CandidateOf(const EndpointRecord& member) const {
  Time now = Now();
  ReadCandidate candidate;
  candidate.other_zone = member.zone != params_.zone;
  auto group = health_.find(member.group);
  if (group != health_.end()) {
    auto health = group->second.find(member.id);
    candidate.set_aside =
        health != group->second.end() && SetAside(health->second, now);
    candidate.slowness = SlownessOf(group->second, member.id, now);
    candidate.service = QuickestService(group->second, now);
  }
  auto found = loads_.find(member.id);
  if (found == loads_.end()) return candidate;
  const Load& load = found->second;
  candidate.sent_since = load.sent_since;
  if (now - load.at < kLoadValid) {
    candidate.waiting = load.waiting;
    candidate.expected_wait = load.expected_wait;
  }
  bool slowed =
      now - load.at < kSlowdownValid && load.slowdown_percent >= kSlowdownMin;
  if (slowed) {
    double slowdown = static_cast<double>(load.slowdown_percent) / kPercent;
    candidate.slowness = std::max(candidate.slowness, slowdown);
  }
  return candidate;
}

std::optional<Target> Relay::ReaderOf(
    const GroupId& group, Duration max_staleness,
    const std::set<EndpointId>& tried,
    const OrganisationName& organisation) const {
  const EndpointRecord* primary = CurrentPrimary(directory_, group);
  std::vector<const EndpointRecord*> members;
  std::vector<ReadCandidate> candidates;
  for (const EndpointRecord* member : MembersOf(directory_, group)) {
    if (member == primary ||
        !MayRead(*member, max_staleness, tried, organisation))
      continue;
    members.push_back(member);
    candidates.push_back(CandidateOf(*member));
  }
  std::optional<size_t> chosen =
      ChooseReader(candidates, std::hash<std::string>()(params_.vm.value()));
  if (chosen) return HolderOf(*members[*chosen], organisation);
  bool usable = primary != nullptr && !tried.contains(primary->id) &&
                !Drained(LeavingSince(directory_, primary->id), Now());
  return usable ? HolderOf(*primary, organisation) : std::nullopt;
}

WorkKind Relay::NoteReadSent(const EndpointRecord& endpoint,
                             const RunRequest& request) {
  ++loads_[endpoint.id].sent_since;
  NoteSent(&health_[endpoint.group], endpoint.id, Now());
  std::string_view shape;
  if (request.prepared) shape = request.prepared->shape;
  return KindOf(shape, request.writes);
}

void Relay::NoteLoad(const EndpointId& endpoint, const Address& holder,
                     const RunAnswer& answer) {
  Load load;
  load.waiting = answer.waiting;
  load.expected_wait = answer.expected_wait;
  load.slowdown_percent = answer.slowdown_percent;
  load.at = Now();
  loads_[endpoint] = load;
  holder_loads_[{endpoint, holder}] = load;
}

void Relay::NoteReadDone(const GroupId& group, const EndpointId& endpoint,
                         WorkKind kind, const RunAnswer& answer) {
  Attempt attempt{ResultOf(answer), kind, answer.service};
  std::optional<AsideChange> change =
      NoteAttempt(&health_[group], endpoint, attempt, Now());
  if (!change) return;
  metrics_.SetAside(endpoint, change->aside);
  LogLine line(LogLevel::kInfo,
               change->aside ? "endpoint_set_aside" : "endpoint_returned");
  line.Field("endpoint", endpoint).Field("group", group);
  if (!change->aside) return;
  line.Field("cause", ToString(change->cause))
      .Field("trouble_percent",
             static_cast<int64_t>(change->trouble_share * kPercent))
      .Field("slowness_percent",
             static_cast<int64_t>(change->slowness * kPercent))
      .Field("pause_ms", change->pause.ms());
}

/// Forgets replicas that caught up, and endpoints that are gone.
void Relay::SweepReaders(Time now) {
  std::erase_if(lagging_, [now](const auto& item) {
    return item.second.until + kLagPauseMax < now;
  });
  std::erase_if(loads_, [this](const auto& item) {
    return !directory_.endpoints.contains(item.first);
  });
  for (auto& [group, health] : health_) {
    KeepMembers(&health, [this](const EndpointId& id) {
      return directory_.endpoints.contains(id);
    });
  }
  std::erase_if(health_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace cardamomchute
