#include "batch_plan.h"

#include <iterator>

namespace cardamomchute {

BatchPlan PlanBatch(std::string_view bytes, const PlanContext& context) {
  BatchPlan plan;
  plan.bytes = std::string(bytes);
  return plan;
}

void Append(BatchPlan next, BatchPlan* plan) {
  plan->bytes += next.bytes;
  plan->commits = plan->commits || next.commits;
  plan->ends_block = false;
  plan->writes_data = plan->writes_data || next.writes_data;
  plan->changes_state = plan->changes_state || next.changes_state;
  auto move_all = [](auto& from, auto& to) {
    to.insert(to.end(), std::make_move_iterator(from.begin()),
              std::make_move_iterator(from.end()));
  };
  move_all(next.steps, plan->steps);
  move_all(next.parsed, plan->parsed);
  move_all(next.closed, plan->closed);
}

}  // namespace cardamomchute
