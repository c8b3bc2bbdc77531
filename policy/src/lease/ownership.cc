#include "cardamomchute/policy/lease/ownership.h"

#include <algorithm>
#include <tuple>

namespace cardamomchute {
namespace {

struct Load {
  std::map<VmId, size_t> vms;
  std::map<Zone, size_t> zones;
};

const OwnerCandidate* Find(const std::vector<OwnerCandidate>& candidates,
                           const VmId& vm) {
  auto it = std::find_if(
      candidates.begin(), candidates.end(),
      [&vm](const OwnerCandidate& candidate) { return candidate.vm == vm; });
  return it == candidates.end() ? nullptr : &*it;
}

const OwnerCandidate& Choose(const OwnedGroup& group,
                             const std::vector<OwnerCandidate>& candidates,
                             Load& load) {
  auto cost = [&](const OwnerCandidate& candidate) {
    bool released = candidate.vm == group.released_by;
    bool far = candidate.zone != group.primary_zone;
    return std::tuple(released, load.vms[candidate.vm], far,
                      load.zones[candidate.zone], candidate.vm);
  };
  return *std::min_element(
      candidates.begin(), candidates.end(),
      [&cost](const OwnerCandidate& a, const OwnerCandidate& b) {
        return cost(a) < cost(b);
      });
}

}  // namespace

std::vector<OwnerChoice> ChooseOwners(
    const std::vector<OwnedGroup>& groups,
    const std::vector<OwnerCandidate>& candidates) {
  std::vector<OwnerChoice> choices;
  if (candidates.empty()) return choices;
  Load load;
  for (const OwnedGroup& group : groups) {
    const OwnerCandidate* owner = Find(candidates, group.owner);
    if (owner == nullptr) continue;
    ++load.vms[owner->vm];
    ++load.zones[owner->zone];
  }
  for (const OwnedGroup& group : groups) {
    if (Find(candidates, group.owner) != nullptr) continue;
    const OwnerCandidate& owner = Choose(group, candidates, load);
    ++load.vms[owner.vm];
    ++load.zones[owner.zone];
    choices.push_back(OwnerChoice{group.id, owner.vm});
  }
  return choices;
}

}  // namespace cardamomchute
