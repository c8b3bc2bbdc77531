#include "cardamomchute/loadgen_history/history.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

namespace cardamomchute::history {

BOOST_AUTO_TEST_SUITE(history)

BOOST_AUTO_TEST_CASE(LinesComeBackAsTheyWere) {
  Operation o;
  o.kind = OperationKind::kReadPair;
  o.outcome = Outcome::kNotRun;
  o.id = "r.1";
  o.session = "s \"quoted\"";
  o.rank = "desk";
  o.key = "r/t/1";
  o.started = 5;
  o.ended = 7;
  o.staleness_ms = 50;
  o.torn = true;
  o.sqlstate = "57P03";
  std::istringstream file(ToLine(o) + "\n" + FinalRowLine("r/o/r.1", "1"));
  History h;
  BOOST_REQUIRE(ReadHistory(file, &h));
  BOOST_REQUIRE(h.operations.size() == 1u);
  BOOST_TEST(ToLine(h.operations[0]) == ToLine(o));
  BOOST_TEST(h.final_rows->at("r/o/r.1") == "1");
}

BOOST_AUTO_TEST_CASE(NamesTheLineThatIsMalformed) {
  std::istringstream file("{\"kind\":\"nonsense\"}\n{}\n");
  History h;
  Status read = ReadHistory(file, &h);
  BOOST_REQUIRE(!read);
  BOOST_TEST(read.error().message.starts_with("line 1: "));
}

BOOST_AUTO_TEST_CASE(MemberLogLeavesOutWhatWasDiscarded) {
  std::istringstream file(
      R"({"event":"commit","member":"a","term":1,"position":10,"table":"loadgen","key":"x","row":["x","1"]}
{"event":"commit","member":"a","term":1,"position":20,"table":"loadgen","key":"y","row":["y","1"]}
{"event":"discard","member":"a","term":2,"position":10}
{"event":"replay","member":"a","term":2,"position":30,"table":"loadgen","key":"z","row":null}
{"event":"promote","member":"a","term":3,"position":30}
{"event":"commit","mem)");
  Result<MemberLog> log = ReadMemberLog(file);
  BOOST_REQUIRE(log);
  BOOST_TEST(log.value().promoted_in == 3u);
  BOOST_REQUIRE(log.value().rows.size() == 2u);
  BOOST_TEST(log.value().rows[0].key == "x");
  BOOST_TEST(log.value().rows[1].key == "z");
  BOOST_TEST(!log.value().rows[1].value.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace cardamomchute::history
