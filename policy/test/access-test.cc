#include "cardamomchute/policy/access.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute {
namespace {

Document TwoRanks() {
  Document document;
  document.ranks = {{RankName("urgent")}, {RankName("browse")}};
  document.groups = {{GroupId("g1"), "tickets", "app"}};
  document.access = {
      {{"desk"}, {"*"}, {GroupId("g1")}, RankName("urgent"), Millis(0), true},
      {{"*"},
       {"viewer"},
       {GroupId("*")},
       RankName("browse"),
       Seconds(5),
       false}};
  return document;
}

}  // namespace

BOOST_AUTO_TEST_CASE(first_matching_entry_counts) {
  Result<Grant> grant = FindGrant(TwoRanks(), {"desk", "tickets", "viewer"});
  BOOST_REQUIRE(grant.has_value());
  BOOST_TEST(grant.value().rank.value() == 0u);
  BOOST_TEST(grant.value().writes);
}

BOOST_AUTO_TEST_CASE(strangers_and_unknown_databases_are_told_apart) {
  Result<Grant> stranger = FindGrant(TwoRanks(), {"x", "tickets", "psql"});
  Result<Grant> nowhere = FindGrant(TwoRanks(), {"desk", "nowhere", "psql"});
  BOOST_REQUIRE(stranger.has_error());
  BOOST_REQUIRE(nowhere.has_error());
  BOOST_TEST((stranger.error().kind == ErrorKind::kUnauthorized));
  BOOST_TEST((nowhere.error().kind == ErrorKind::kNotFound));
}

}  // namespace cardamomchute
