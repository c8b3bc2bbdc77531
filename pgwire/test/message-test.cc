#include "cardamomchute/pgwire/message.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute::pgwire {

BOOST_AUTO_TEST_CASE(messages_are_found_only_when_whole) {
  std::string query = Query("SELECT 1");
  for (size_t cut = 0; cut < query.size(); ++cut) {
    Result<std::optional<MessageView>> next =
        NextMessage(std::string_view(query).substr(0, cut));
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(!next.value().has_value());
  }
  Result<std::optional<MessageView>> next = NextMessage(query + "more");
  BOOST_REQUIRE(next.value().has_value());
  BOOST_TEST(next.value()->type == 'Q');
  BOOST_TEST(next.value()->whole.size() == query.size());
}

BOOST_AUTO_TEST_CASE(impossible_lengths_are_refused) {
  std::string small("Q\0\0\0\3", 5);
  std::string large("Q\x7f\xff\xff\xff", 5);
  BOOST_TEST(NextMessage(small).has_error());
  BOOST_TEST(NextMessage(large).has_error());
}

BOOST_AUTO_TEST_CASE(startup_options_are_read_in_order) {
  std::string bytes = Startup({{"user", "desk"}, {"database", "tickets"}});
  Result<std::optional<StartupPacket>> packet = NextStartup(bytes);
  BOOST_REQUIRE(packet.has_value());
  BOOST_REQUIRE(packet.value().has_value());
  BOOST_TEST(packet.value()->options.size() == 2u);
  BOOST_TEST(packet.value()->options[1].value == "tickets");
  BOOST_TEST(packet.value()->size == bytes.size());
}

BOOST_AUTO_TEST_CASE(rows_survive_with_nulls) {
  std::string row = DataRow({std::string("a"), std::nullopt});
  Result<std::optional<MessageView>> view = NextMessage(row);
  Result<std::vector<std::optional<std::string>>> values =
      ParseDataRow(view.value()->body);
  BOOST_REQUIRE(values.has_value());
  BOOST_TEST(*values.value()[0] == "a");
  BOOST_TEST(!values.value()[1].has_value());
}

BOOST_AUTO_TEST_CASE(lsn_is_read_as_printed) {
  BOOST_TEST(ParseLsn("16/B374D848").value() == 0x16B374D848u);
  BOOST_TEST(FormatLsn(0x16B374D848u) == "16/B374D848");
  BOOST_TEST(ParseLsn("16B3").has_error());
  BOOST_TEST(ParseLsn("1/xyz").has_error());
}

BOOST_AUTO_TEST_CASE(reports_carry_state_and_hint) {
  Report report;
  report.sqlstate = "08007";
  report.message = "outcome unknown";
  report.hint = "ask with the operation key";
  std::string bytes = ErrorResponse(report);
  Report read = ParseReport(NextMessage(bytes).value()->body);
  BOOST_TEST(read.sqlstate == "08007");
  BOOST_TEST(read.hint == report.hint);
}

}  // namespace cardamomchute::pgwire
