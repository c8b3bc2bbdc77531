/// Status and history as text for a person.
#ifndef CARDAMOMCHUTE_OPERATORS_RENDER_H_
#define CARDAMOMCHUTE_OPERATORS_RENDER_H_

#include <string>
#include <vector>

#include "cardamomchute/operators/diff.h"
#include "cardamomchute/policy/sessions/operations.h"

namespace cardamomchute {

/// One screen: control members, versions, groups, VMs, problems with their
/// remedies. VMs that need no attention are only counted.
std::string RenderStatus(const StatusReport& report);

/// What in a report needs a person, beyond what the control members found: a
/// group or member that `report.problems` names already is left out.
std::vector<Problem> FindProblems(const StatusReport& report);

std::string RenderHistory(const std::vector<DocumentRecord>& history,
                          bool show_text);

std::string RenderDiff(const DocumentDiff& diff);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_OPERATORS_RENDER_H_
