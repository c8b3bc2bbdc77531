#include "cardamomchute/endpoints/owner.h"

#include <boost/test/unit_test.hpp>

#include "owner_fixture.h"

namespace cardamomchute {

BOOST_AUTO_TEST_CASE(a_write_is_answered_with_its_floor) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  BOOST_REQUIRE(f.Run(*caller, "INSERT a"));
  BOOST_TEST((caller->ending() == Ending::kAnswered));
  BOOST_TEST(caller->bytes == pgwire::CommandComplete("INSERT 0 1"));
  BOOST_REQUIRE(caller->last().floor.has_value());
  BOOST_TEST(caller->last().floor->term == Term(1));
  BOOST_TEST(caller->last().floor->position ==
             Position(f.endpoints[0]->received));
}

BOOST_AUTO_TEST_CASE(a_group_of_another_vm_resets_the_channel) {
  OwnerFixture f;
  f.record().owner = VmId("other");
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect();
  BOOST_TEST(caller->resets.empty());
  BOOST_REQUIRE(f.Until([&] { return !caller->resets.empty(); }));
  BOOST_TEST(caller->resets[0].sent_nothing);
}

BOOST_AUTO_TEST_CASE(an_sql_error_is_an_answer) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect();
  BOOST_REQUIRE(f.Run(*caller, "fail now"));
  BOOST_TEST((caller->ending() == Ending::kAnswered));
  BOOST_TEST(caller->bytes.find("42601") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_unknown_primary_is_found_and_recorded) {
  OwnerFixture f(3);
  f.record().primary = EndpointId();
  f.record().term = Term(0);
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect();
  BOOST_REQUIRE(f.Run(*caller, "INSERT a"));
  BOOST_TEST((caller->ending() == Ending::kAnswered));
  BOOST_TEST(f.record().primary == f.Id(0));
}

}  // namespace cardamomchute
