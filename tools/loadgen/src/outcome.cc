#include "outcome.h"

#include <algorithm>
#include <array>

namespace cardamomchute::loadgen {
namespace {

bool IsUnknown(std::string_view sqlstate) {
  constexpr std::array<std::string_view, 6> kStates = {
      "08007", "08006", "08003", "40003", "57P01", "57P02"};
  return std::find(kStates.begin(), kStates.end(), sqlstate) != kStates.end();
}

bool IsNotRun(std::string_view sqlstate) {
  return sqlstate == "57P03" || sqlstate.starts_with("53");
}

}  // namespace

history::Outcome OutcomeOf(const Answer& answer) {
  if (answer.error) {
    if (IsUnknown(answer.error->sqlstate)) return history::Outcome::kUnknown;
    if (IsNotRun(answer.error->sqlstate)) return history::Outcome::kNotRun;
    return history::Outcome::kFailed;
  }
  return answer.lost ? history::Outcome::kUnknown : history::Outcome::kOk;
}

std::string StateOf(const Answer& answer) {
  if (answer.error) return answer.error->sqlstate;
  return answer.lost ? "lost" : "";
}

}  // namespace cardamomchute::loadgen
