#include "rank_spec.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute::loadgen {

BOOST_AUTO_TEST_SUITE(rank_spec)

BOOST_AUTO_TEST_CASE(ReadsAllFields) {
  Result<std::vector<RankSpec>> ranks = ParseRanks(
      "desk:callers=8,reads=0.2,transactions=0.1,think_ms=10;"
      "browse:callers=32,reads=1,staleness_ms=5000,target_ms=100,rate=50");
  BOOST_REQUIRE(ranks);
  BOOST_REQUIRE(ranks.value().size() == 2u);
  const RankSpec& desk = ranks.value()[0];
  BOOST_TEST(desk.name == "desk");
  BOOST_TEST(desk.callers == 8u);
  BOOST_TEST(desk.reads == 0.2);
  BOOST_TEST(desk.transactions == 0.1);
  BOOST_TEST(desk.think_ms == 10);
  BOOST_TEST(desk.staleness_ms == -1);
  const RankSpec& browse = ranks.value()[1];
  BOOST_TEST(browse.staleness_ms == 5000);
  BOOST_TEST(browse.target_ms == 100);
  BOOST_TEST(browse.rate == 50);
}

BOOST_AUTO_TEST_CASE(NamesWhatIsWrong) {
  for (const char* text :
       {"", ":callers=1", "a:callers", "a:callers=x", "a:colour=1"}) {
    BOOST_TEST(!ParseRanks(text), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace cardamomchute::loadgen
