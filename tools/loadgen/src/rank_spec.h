/// What the callers of one rank do.
#ifndef CARDAMOMCHUTE_LOADGEN_RANK_SPEC_H_
#define CARDAMOMCHUTE_LOADGEN_RANK_SPEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cardamomchute/base/error.h"

namespace cardamomchute::loadgen {

struct RankSpec {
  std::string name;         ///< also the application name
  size_t callers = 1;       ///< sessions, each with one operation at a time
  double reads = 0.5;       ///< share of operations that read
  double transactions = 0;  ///< share of the others that are blocks
  double think_ms = 0;      ///< mean pause between operations of a caller
  /// Operations a second of all callers together; zero: as think_ms has it.
  double rate = 0;
  int64_t staleness_ms = -1;  ///< bound asked for; negative: none is asked for
  double target_ms = 0;       ///< answers later than this are late; zero: none
};

/// "desk:callers=8,reads=0.2,think_ms=10;browse:callers=32,reads=1": ranks
/// with the fields above. kInvalidInput names what is wrong.
Result<std::vector<RankSpec>> ParseRanks(const std::string& text);

}  // namespace cardamomchute::loadgen

#endif  // CARDAMOMCHUTE_LOADGEN_RANK_SPEC_H_
