#include "cardamomchute/operators/diff.h"

#include <boost/test/unit_test.hpp>

#include "sample_document.h"

namespace cardamomchute {
namespace {

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  size_t at = text.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

}  // namespace

BOOST_AUTO_TEST_CASE(equal_documents_have_no_changes) {
  DocumentDiff diff = DiffDocuments(kSampleDocument, kSampleDocument);
  BOOST_TEST(diff.changes.empty());
  BOOST_TEST(diff.lines.empty());
}

BOOST_AUTO_TEST_CASE(a_comment_changes_lines_but_no_meaning) {
  std::string other = "# new\n" + std::string(kSampleDocument);
  DocumentDiff diff = DiffDocuments(kSampleDocument, other);
  BOOST_TEST(diff.changes.empty());
  BOOST_REQUIRE(diff.lines.size() == 1U);
  BOOST_TEST(diff.lines[0] == "+# new");
}

BOOST_AUTO_TEST_CASE(a_changed_value_is_named) {
  std::string other =
      Replace(std::string(kSampleDocument), "target_ms = 50", "target_ms = 80");
  DocumentDiff diff = DiffDocuments(kSampleDocument, other);
  BOOST_REQUIRE(diff.changes.size() == 1U);
  BOOST_TEST(diff.changes[0] == "rank confirmations: target_ms 50 -> 80");
  BOOST_REQUIRE(diff.lines.size() == 2U);
  BOOST_TEST(diff.lines[0] == "-target_ms = 50");
  BOOST_TEST(diff.lines[1] == "+target_ms = 80");
}

BOOST_AUTO_TEST_CASE(added_and_removed_entries_are_named) {
  std::string other =
      Replace(std::string(kSampleDocument), "[\"exposure\"]", "[\"desk\"]");
  DocumentDiff diff = DiffDocuments(kSampleDocument, other);
  BOOST_REQUIRE(diff.changes.size() == 2U);
  BOOST_TEST(diff.changes[0] ==
             "removed access users=[exposure] applications=[*] "
             "groups=[tickets1]");
  BOOST_TEST(diff.changes[1].find("added access users=[desk]") == 0U);
}

}  // namespace cardamomchute
