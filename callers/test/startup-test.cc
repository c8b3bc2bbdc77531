#include "startup.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute {
namespace {

using Option = pgwire::StartupPacket::Option;

ClusterView OneGroup() {
  ClusterView view;
  view.document.emplace();
  Document& document = view.document->document;
  document.ranks = {{RankName("urgent")}, {RankName("browse")}};
  document.groups = {{GroupId("g"), "tickets", "app"}};
  document.access = {
      {{"*"}, {"*"}, {GroupId("*")}, RankName("urgent"), Millis(0), true}};
  return view;
}

StartupOutcome Judge(std::vector<Option> options) {
  pgwire::StartupPacket packet;
  packet.code = pgwire::kProtocolVersion3;
  packet.options = {{"user", "u"}, {"database", "tickets"}};
  packet.options.insert(packet.options.end(), options.begin(), options.end());
  return JudgeStartup(packet, OneGroup(), 0);
}

std::string Parameter(const StartupOutcome& outcome, const std::string& key) {
  for (const Option& parameter : outcome.admitted.parameters) {
    if (parameter.key == key) return parameter.value;
  }
  return "";
}

}  // namespace

BOOST_AUTO_TEST_CASE(settings_become_sql_that_is_replayed) {
  StartupOutcome outcome =
      Judge({{"TimeZone", "Europe/Copenhagen"},
             {"client_encoding", "UTF8"},
             {"DateStyle", "ISO"},
             {"options", "-c search_path=o\\'ne\\ two --work-mem=1MB"}});
  BOOST_REQUIRE(!outcome.refusal);
  std::vector<std::string> expected = {"SET timezone = 'Europe/Copenhagen'",
                                       "SET search_path = 'o''ne two'",
                                       "SET work_mem = '1MB'"};
  BOOST_TEST(outcome.admitted.setup == expected);
  BOOST_TEST(Parameter(outcome, "TimeZone") == "Europe/Copenhagen");
}

BOOST_AUTO_TEST_CASE(product_options_come_either_way) {
  StartupOutcome outcome = Judge(
      {{"cardamomchute.session", "s"}, {"options", "-ccardamomchute.rank=2"}});
  BOOST_REQUIRE(!outcome.refusal);
  BOOST_TEST(outcome.admitted.options.session.value() == "s");
  BOOST_TEST(outcome.admitted.options.rank->value() == 1u);
  BOOST_TEST(outcome.admitted.setup.empty());
}

BOOST_AUTO_TEST_CASE(odd_options_are_refused) {
  std::vector<std::vector<Option>> odd = {
      {{"a; drop table t", "1"}}, {{"options", "-x"}},
      {{"options", "-c"}},        {{"options", "-c =1"}},
      {{"options", "--a;b=1"}},   {{"cardamomchute.floor", "x"}},
  };
  for (const std::vector<Option>& options : odd) {
    StartupOutcome outcome = Judge(options);
    BOOST_REQUIRE(outcome.refusal.has_value());
    BOOST_TEST(outcome.refusal->sqlstate == "22023");
    BOOST_TEST(!outcome.refusal->hint.empty());
  }
  BOOST_TEST(Judge({{"replication", "true"}}).refusal->sqlstate == "0A000");
  BOOST_TEST(!Judge({{"replication", "false"}}).refusal);
  BOOST_TEST(!Judge({{"_pq_.something", "1"}}).refusal);
}

BOOST_AUTO_TEST_CASE(a_value_can_not_leave_its_quotes) {
  StartupOutcome outcome = Judge({{"search_path", "a\\'; drop table t --"}});
  BOOST_REQUIRE(outcome.admitted.setup.size() == 1u);
  BOOST_TEST(outcome.admitted.setup[0] ==
             "SET search_path = E'a\\\\''; drop table t --'");
}

BOOST_AUTO_TEST_CASE(refusals_have_their_sqlstates) {
  pgwire::StartupPacket packet;
  packet.options = {{"user", "u"}};
  BOOST_TEST(JudgeStartup(packet, OneGroup(), 0).refusal->sqlstate == "3D000");
  BOOST_TEST(JudgeStartup(packet, ClusterView(), 0).refusal->sqlstate ==
             "57P03");
  BOOST_TEST(JudgeStartup(packet, OneGroup(), 10000).refusal->sqlstate ==
             "53300");
  packet.options.clear();
  BOOST_TEST(JudgeStartup(packet, OneGroup(), 0).refusal->sqlstate == "28000");
}

}  // namespace cardamomchute
