/// The keepers of rate limits, as recorded by the leading control member.
#include <algorithm>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/fleet/fleet_controller.h"

namespace cardamomchute {
namespace {

size_t CountVacant(const KeeperMap& map) {
  return static_cast<size_t>(
      std::count(map.keepers.begin(), map.keepers.end(), VmId()));
}

size_t CountMoved(const KeeperMap& before, const KeeperMap& after) {
  size_t moved = 0;
  for (size_t i = 0; i < after.keepers.size(); ++i) {
    if (KeeperOf(before, i) != after.keepers[i]) ++moved;
  }
  return moved;
}

}  // namespace

bool FleetController::HasLimits() const {
  const Layout* layout = ParsedLayout();
  if (layout == nullptr || !layout->organisations) return false;
  const auto& specs = layout->organisations->specs;
  return std::any_of(specs.begin(), specs.end(), [](const auto& item) {
    return item.second.limit.has_value();
  });
}

void FleetController::ReviewKeepers(Time now) {
  // The map in force is known once this term's first entry was applied.
  if (!params_.keeper_grant || !KnowsOrders()) return;
  if (now < keeper_ledger_.next_map || keeper_ledger_.recording) return;
  if (!HasLimits()) return;
  std::vector<KeeperCandidate> candidates =
      KeeperCandidates(directory_, keeper_ledger_.since, now);
  std::optional<KeeperMap> next =
      NextKeeperMap(keeper_ledger_, keepers_, candidates, now);
  keeper_ledger_.next_map = now + kKeeperMapInterval;
  if (!next) return;
  LogLine(LogLevel::kInfo, "keepers_proposed")
      .Field("version", next->version)
      .Field("candidates", candidates.size())
      .Field("changed", CountMoved(keepers_, *next))
      .Field("vacant", CountVacant(*next));
  RecordKeepers(std::move(*next));
}

void FleetController::RecordKeepers(KeeperMap next) {
  ReplicatedState command;
  command.keepers = std::move(next);
  std::optional<LogIndex> index = host_->ProposeBytes(Pack(command));
  if (!index) {
    LogLine(LogLevel::kInfo, "keepers_not_recorded")
        .Field("version", command.keepers.version);
    return;
  }
  keeper_ledger_.recording = true;
}

void FleetController::TakeKeepers(KeeperMap keepers) {
  if (keepers.version <= keepers_.version) return;
  KeeperMap before = std::exchange(keepers_, std::move(keepers));
  TakeKeeperMap(keeper_ledger_, before, keepers_, Now());
  LogLine(LogLevel::kInfo, "keepers_applied")
      .Field("version", keepers_.version)
      .Field("changed", CountMoved(before, keepers_))
      .Field("vacant", CountVacant(keepers_));
}

}  // namespace cardamomchute
