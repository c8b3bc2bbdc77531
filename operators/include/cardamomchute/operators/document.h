/// Reads the operators' document and checks it as a whole.
///
///     title = "Job tickets"
///     [limits]
///     callers_per_vm = 10000
///     idle_in_transaction_ms = 10000
///     statement_timeout_ms = 30000
///     [[rank]]                      # from most to least urgent
///     name = "confirmations"
///     target_ms = 50
///     worth = 100
///     guaranteed_share = 0.5
///     queue_limit = 500
///     [[group]]
///     id = "tickets1"
///     database = "tickets1"
///     user = "cardamomchute"
///     connections = 36
///     slots = 2
///     ack = "replicated"            # or "primary"
///     [[access]]                    # the first that matches counts
///     users = ["exposure"]
///     applications = ["*"]
///     groups = ["tickets1"]         # or ["*"]
///     rank = "confirmations"
///     max_staleness_ms = 0          # 0: exact; -1: any age
///     writes = true
#ifndef CARDAMOMCHUTE_OPERATORS_DOCUMENT_H_
#define CARDAMOMCHUTE_OPERATORS_DOCUMENT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomchute/base/fault.h"
#include "cardamomchute/policy/documents/document.h"

namespace cardamomchute {

inline constexpr size_t kMaxDocumentBytes = 256 * 1024;

/// The document, or every fault there is in it, by line.
struct DocumentOutcome {
  std::optional<Document> document;
  std::vector<Fault> faults;
};

DocumentOutcome ParseDocument(std::string_view text);

/// SHA-256 as 64 hexadecimal digits.
std::string Sha256Hex(std::string_view text);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_OPERATORS_DOCUMENT_H_
