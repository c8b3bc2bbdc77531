/// Prints what came of a load.
#ifndef CARDAMOMCHUTE_LOADGEN_REPORT_H_
#define CARDAMOMCHUTE_LOADGEN_REPORT_H_

#include <string>

#include "cardamomchute/loadgen_history/checker.h"
#include "load.h"

namespace cardamomchute::loadgen {

/// A table by rank, then errors by SQLSTATE, then the longest gap.
std::string Report(const LoadOptions& options, const LoadResult& result);

/// The checker's line, a line on refusals, and an example a line.
std::string Report(const history::Verdict& verdict);

}  // namespace cardamomchute::loadgen

#endif  // CARDAMOMCHUTE_LOADGEN_REPORT_H_
