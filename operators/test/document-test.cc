#include "cardamomchute/operators/document.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "sample_document.h"

namespace cardamomchute {
namespace {

const Fault* FindFault(const DocumentOutcome& outcome, std::string_view key) {
  auto it = std::find_if(outcome.faults.begin(), outcome.faults.end(),
                         [&](const Fault& fault) { return fault.key == key; });
  return it == outcome.faults.end() ? nullptr : &*it;
}

uint32_t LineOf(const DocumentOutcome& outcome, std::string_view key) {
  const Fault* fault = FindFault(outcome, key);
  BOOST_REQUIRE_MESSAGE(fault != nullptr, key);
  BOOST_TEST(!fault->remedy.empty());
  return fault->line;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_whole_document_is_read) {
  DocumentOutcome outcome = ParseDocument(kSampleDocument);
  for (const Fault& fault : outcome.faults) BOOST_TEST_MESSAGE(ToString(fault));
  BOOST_REQUIRE(outcome.document);
  const Document& document = *outcome.document;
  BOOST_TEST(document.title == "Job tickets");
  BOOST_TEST(document.limits.callers_per_vm == 500U);
  BOOST_TEST(document.limits.statement_timeout.ms() == 30000);
  BOOST_REQUIRE(document.ranks.size() == 2U);
  BOOST_TEST(document.ranks[0].name.value() == "confirmations");
  BOOST_TEST(document.ranks[0].target.ms() == 50);
  BOOST_TEST(document.ranks[0].guaranteed_share == 0.5);
  BOOST_REQUIRE(document.groups.size() == 1U);
  BOOST_TEST((document.groups[0].ack == AckMode::kPrimary));
  BOOST_REQUIRE(document.access.size() == 2U);
  BOOST_TEST(document.access[1].applications[0] == "*");
  BOOST_TEST(document.access[1].max_staleness.ms() == -1);
  BOOST_TEST(!document.access[1].writes);
}

BOOST_AUTO_TEST_CASE(every_fault_is_listed_with_line_and_remedy) {
  DocumentOutcome outcome = ParseDocument(R"([limits]
callers_per_vm = 0
[[rank]]
name = "a"
target_ms = 0
worth = 1
guaranteed_share = 0.7
[[rank]]
name = "a"
target_ms = 10
worth = "much"
guaranteed_share = 0.7
[[group]]
id = "g 1"
database = "d"
user = "u"
connections = 2
slots = 2
ack = "soon"
[[group]]
id = "g2"
database = "d"
user = "u"
connections = 36
slots = 2
[[access]]
users = ["*"]
groups = ["g3"]
rank = "b"
max_staleness_ms = -2
colour = "green"
)");
  BOOST_TEST(!outcome.document);
  BOOST_TEST(LineOf(outcome, "title") == 0U);
  BOOST_TEST(LineOf(outcome, "limits.callers_per_vm") == 2U);
  BOOST_TEST(LineOf(outcome, "rank[0].target_ms") == 5U);
  BOOST_TEST(LineOf(outcome, "rank[1].name") == 9U);
  BOOST_TEST(LineOf(outcome, "rank[1].worth") == 11U);
  BOOST_TEST(LineOf(outcome, "rank[1].guaranteed_share") == 12U);
  BOOST_TEST(LineOf(outcome, "group[0].id") == 14U);
  BOOST_TEST(LineOf(outcome, "group[0].connections") == 17U);
  BOOST_TEST(LineOf(outcome, "group[0].ack") == 19U);
  BOOST_TEST(LineOf(outcome, "group[1].database") == 22U);
  BOOST_TEST(LineOf(outcome, "access[0].groups") == 28U);
  BOOST_TEST(LineOf(outcome, "access[0].rank") == 29U);
  BOOST_TEST(LineOf(outcome, "access[0].max_staleness_ms") == 30U);
  BOOST_TEST(LineOf(outcome, "access[0].colour") == 31U);
  BOOST_TEST(outcome.faults.size() == 14U);
}

BOOST_AUTO_TEST_CASE(an_entry_that_never_matches_is_a_fault) {
  std::string text(kSampleDocument);
  text +=
      "[[access]]\nusers = [\"exposure\"]\ngroups = [\"*\"]\n"
      "rank = \"browsing\"\n";
  DocumentOutcome outcome = ParseDocument(text);
  BOOST_TEST((FindFault(outcome, "access[2].users") != nullptr));
}

BOOST_AUTO_TEST_CASE(an_empty_document_names_what_it_needs) {
  DocumentOutcome outcome = ParseDocument("");
  for (std::string_view key : {"title", "rank", "group", "access"})
    BOOST_TEST((FindFault(outcome, key) != nullptr), key);
}

BOOST_AUTO_TEST_CASE(a_huge_document_is_refused_unread) {
  DocumentOutcome outcome =
      ParseDocument(std::string(kMaxDocumentBytes + 1, '#'));
  BOOST_TEST(outcome.faults.size() == 1U);
}

BOOST_AUTO_TEST_CASE(hashes_are_sha256) {
  BOOST_TEST(
      Sha256Hex("abc") ==
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

}  // namespace cardamomchute
