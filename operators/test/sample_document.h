/// A small document that is accepted.
#ifndef CARDAMOMCHUTE_OPERATORS_TEST_SAMPLE_DOCUMENT_H_
#define CARDAMOMCHUTE_OPERATORS_TEST_SAMPLE_DOCUMENT_H_

#include <string_view>

namespace cardamomchute {

inline constexpr std::string_view kSampleDocument = R"(title = "Job tickets"
[limits]
callers_per_vm = 500
[[rank]]
name = "confirmations"
target_ms = 50
worth = 100
guaranteed_share = 0.5
[[rank]]
name = "browsing"
target_ms = 2000
worth = 1
[[group]]
id = "tickets1"
database = "tickets1"
user = "cardamomchute"
connections = 36
slots = 2
ack = "primary"
[[access]]
users = ["exposure"]
groups = ["tickets1"]
rank = "confirmations"
[[access]]
users = ["*"]
groups = ["*"]
rank = "browsing"
max_staleness_ms = -1
writes = false
)";

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_OPERATORS_TEST_SAMPLE_DOCUMENT_H_
