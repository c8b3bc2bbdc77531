#include "cardamomchute/policy/routing/read_choice.h"

#include <algorithm>
#include <utility>

namespace cardamomchute {
namespace {

/// What a way to another zone counts for.
constexpr double kOtherZoneCost = 3;
/// Costs that differ by less than this count as the same.
constexpr double kSameCost = 0.5;

bool Differ(const std::vector<ReadCandidate>& candidates) {
  return std::any_of(candidates.begin(), candidates.end(),
                     [](const ReadCandidate& candidate) {
                       return candidate.set_aside || candidate.slowness > 1;
                     });
}

}  // namespace

double CompletionCost(const ReadCandidate& candidate, bool differ) {
  double way = candidate.other_zone ? kOtherZoneCost : 0;
  double waiting = static_cast<double>(candidate.waiting);
  if (!differ) return waiting + 1 + way;
  waiting += static_cast<double>(candidate.sent_since);
  double ahead = waiting * candidate.slowness;
  if (candidate.service > Duration()) {
    double wait = static_cast<double>(candidate.expected_wait.ms()) /
                  static_cast<double>(candidate.service.ms());
    ahead = std::max(ahead, wait);
  }
  return ahead + candidate.slowness + way;
}

std::optional<size_t> ChooseReader(const std::vector<ReadCandidate>& candidates,
                                   uint64_t relay_hash) {
  bool differ = Differ(candidates);
  bool all_aside = std::all_of(
      candidates.begin(), candidates.end(),
      [](const ReadCandidate& candidate) { return candidate.set_aside; });
  std::vector<std::pair<double, size_t>> costs;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].set_aside && !all_aside) continue;
    costs.emplace_back(CompletionCost(candidates[i], differ), i);
  }
  if (costs.empty()) return std::nullopt;
  double lowest = std::min_element(costs.begin(), costs.end())->first;
  std::erase_if(costs, [lowest](const auto& cost) {
    return cost.first >= lowest + kSameCost;
  });
  return costs[relay_hash % costs.size()].second;
}

}  // namespace cardamomchute
