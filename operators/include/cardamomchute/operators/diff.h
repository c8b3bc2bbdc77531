/// What differs between two documents: as changes of meaning, and by line.
#ifndef CARDAMOMCHUTE_OPERATORS_DIFF_H_
#define CARDAMOMCHUTE_OPERATORS_DIFF_H_

#include <string>
#include <string_view>
#include <vector>

#include "cardamomchute/policy/documents/document.h"

namespace cardamomchute {

struct DocumentDiff {
  /// E.g. "rank browsing: target_ms 2000 -> 3000"; empty when both mean the
  /// same.
  std::vector<std::string> changes;
  /// Changed lines only, each with "-" or "+" before it.
  std::vector<std::string> lines;
};

/// Both texts are documents that ParseDocument accepts; where one is not, only
/// the lines are compared.
DocumentDiff DiffDocuments(std::string_view from, std::string_view to);

std::vector<std::string> DescribeChanges(const Document& from,
                                         const Document& to);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_OPERATORS_DIFF_H_
