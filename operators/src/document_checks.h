/// Checks between the parts of a document, beyond what one key tells.
#ifndef CARDAMOMCHUTE_OPERATORS_SRC_DOCUMENT_CHECKS_H_
#define CARDAMOMCHUTE_OPERATORS_SRC_DOCUMENT_CHECKS_H_

#include <vector>

#include "cardamomchute/base/toml_reader.h"
#include "cardamomchute/policy/documents/document.h"

namespace cardamomchute {

/// A document under check, with the readers that know its lines: one for
/// each rank, group and access entry, in the document's order.
struct DocumentSource {
  TableReader* top = nullptr;
  std::vector<TableReader> ranks;
  std::vector<TableReader> groups;
  std::vector<TableReader> access;
};

void CheckRanks(const Document& document, DocumentSource* source);
void CheckGroups(const Document& document, DocumentSource* source);
void CheckAccess(const Document& document, DocumentSource* source);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_OPERATORS_SRC_DOCUMENT_CHECKS_H_
