#include "log_entry.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute::standin {
namespace {

TermStart At(uint64_t term, uint64_t start) {
  return TermStart{Term(term), Position(start)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(log_entry)

BOOST_AUTO_TEST_CASE(SameTermSharesTheShorterLog) {
  Timeline one{At(1, 100)};
  BOOST_TEST(CommonEnd(one, Position(300), one, Position(200)).value() == 200u);
}

BOOST_AUTO_TEST_CASE(TailPastTheForkIsNotShared) {
  Timeline old{At(1, 100)};
  Timeline promoted{At(1, 100), At(2, 200)};
  BOOST_TEST(CommonEnd(old, Position(300), promoted, Position(500)).value() ==
             200u);
  BOOST_TEST(CommonEnd(old, Position(150), promoted, Position(500)).value() ==
             150u);
}

BOOST_AUTO_TEST_CASE(DifferentForksShareWhatCameBefore) {
  Timeline a{At(1, 100), At(2, 200), At(3, 250)};
  Timeline b{At(1, 100), At(2, 210)};
  BOOST_TEST(CommonEnd(a, Position(400), b, Position(400)).value() == 200u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace cardamomchute::standin
