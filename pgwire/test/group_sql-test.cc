#include "cardamomchute/pgwire/group_sql.h"

#include <boost/test/unit_test.hpp>

#include "cardamomchute/pgwire/message.h"

namespace cardamomchute::pgwire {
namespace {

Result<MemberPosition> Parse(
    const std::vector<std::optional<std::string>>& values) {
  std::string row = DataRow(values);
  return ParseProbeRow(NextMessage(row).value()->body);
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_replica_reports_both_positions) {
  Result<MemberPosition> member = Parse({"t", "3", "0/20", "0/10"});
  BOOST_REQUIRE(member.has_value());
  BOOST_TEST(!member.value().is_primary);
  BOOST_TEST(member.value().term.value() == 3u);
  BOOST_TEST(member.value().received.value() == 0x20u);
  BOOST_TEST(member.value().replayed.value() == 0x10u);
}

BOOST_AUTO_TEST_CASE(a_replica_that_received_nothing_is_at_zero) {
  Result<MemberPosition> member = Parse({"t", "1", std::nullopt, "0/10"});
  BOOST_REQUIRE(member.has_value());
  BOOST_TEST(member.value().received.value() == 0u);
}

BOOST_AUTO_TEST_CASE(unreadable_answers_are_errors) {
  BOOST_TEST(Parse({"t", "x", "0/20", "0/10"}).has_error());
  BOOST_TEST(Parse({"t", "3"}).has_error());
}

}  // namespace cardamomchute::pgwire
