#include "cardamomchute/policy/sessions/relay_drain.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute {
namespace {

const Time kStart = Time() + Seconds(100);

BOOST_AUTO_TEST_SUITE(relay_drain)

BOOST_AUTO_TEST_CASE(the_steps_of_a_drain_follow_each_other) {
  RelayDrain drain{kStart, Seconds(3), Millis(5500)};
  BOOST_TEST(!HandsOver(drain, kStart + Millis(999)));
  BOOST_TEST(HandsOver(drain, kStart + Millis(1000)));
  BOOST_TEST(!ClosesAfterAnswers(drain, kStart + Millis(2499)));
  BOOST_TEST(ClosesAfterAnswers(drain, kStart + Millis(2500)));
  BOOST_TEST(!RefusesStatements(drain, kStart + Millis(2999)));
  BOOST_TEST(RefusesStatements(drain, kStart + Millis(3000)));
  BOOST_TEST(!IsOver(drain, kStart + Millis(5499)));
  BOOST_TEST(IsOver(drain, kStart + Millis(5500)));
}

/// A short grace leaves less time for each step, in the same order.
BOOST_AUTO_TEST_CASE(a_short_drain_has_the_same_steps) {
  RelayDrain drain{kStart, Millis(500), Millis(800)};
  BOOST_TEST(!HandsOver(drain, kStart + Millis(499)));
  BOOST_TEST(HandsOver(drain, kStart + Millis(500)));
  BOOST_TEST(!ClosesAfterAnswers(drain, kStart + Millis(399)));
  BOOST_TEST(ClosesAfterAnswers(drain, kStart + Millis(400)));
  BOOST_TEST(!RefusesStatements(drain, kStart + Millis(499)));
  BOOST_TEST(RefusesStatements(drain, kStart + Millis(500)));
}

/// Nothing is taken that could only be given up.
BOOST_AUTO_TEST_CASE(statements_are_refused_once_a_drain_is_over) {
  RelayDrain drain{kStart, Seconds(5), Seconds(1)};
  BOOST_TEST(RefusesStatements(drain, kStart + Seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
