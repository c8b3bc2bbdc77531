#include "cardamomchute/peers/leadership_barrier.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute {
namespace {

struct Fixture {
  LeadershipBarrier rounds{[this]() -> std::optional<Round> {
    if (!leads) return std::nullopt;
    return Round(++begun);
  }};
  bool leads = true;
  uint64_t begun = 0;
  int ran = 0;
  int abandoned = 0;

  void Add() {
    rounds.Add({[this] { ++ran; }, [this] { ++abandoned; }});
  }
};

BOOST_AUTO_TEST_SUITE(confirmed_rounds)

BOOST_AUTO_TEST_CASE(only_a_round_that_began_later_counts) {
  Fixture f;
  f.Add();
  f.Add();  // arrives while the first round is under way
  BOOST_TEST(f.begun == 1u);
  f.rounds.OnConfirmed(Round(1));
  BOOST_TEST(f.ran == 1);
  BOOST_TEST(f.begun == 2u);
  f.rounds.OnConfirmed(Round(1));
  BOOST_TEST(f.ran == 1);
  f.rounds.OnConfirmed(Round(2));
  BOOST_TEST(f.ran == 2);
}

BOOST_AUTO_TEST_CASE(all_that_waits_is_abandoned_once) {
  Fixture f;
  f.Add();
  f.Add();
  f.rounds.Abandon();
  f.rounds.Abandon();
  f.rounds.OnConfirmed(Round(9));
  BOOST_TEST(f.abandoned == 2);
  BOOST_TEST(f.ran == 0);
}

BOOST_AUTO_TEST_CASE(without_a_lead_work_waits) {
  Fixture f;
  f.leads = false;
  f.Add();
  BOOST_TEST(f.begun == 0u);
  f.leads = true;
  f.rounds.StartIfDue();
  f.rounds.OnConfirmed(Round(1));
  BOOST_TEST(f.ran == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
