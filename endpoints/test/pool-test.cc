#include "pool.h"

#include <boost/test/unit_test.hpp>

#include "owner_fixture.h"

namespace cardamomchute {

BOOST_AUTO_TEST_CASE(slots_and_the_cap_are_never_exceeded) {
  OwnerFixture f;
  f.spec().connections = 6;
  f.Start();
  std::vector<std::unique_ptr<TestCaller>> callers;
  f.endpoints[0]->hold_answers = true;
  for (int i = 0; i < 20; ++i) {
    callers.push_back(f.Connect());
    f.Send(*callers[i], "INSERT " + std::to_string(i));
  }
  f.RunFor(Millis(100));
  BOOST_TEST(f.endpoints[0]->statements.size() == 2U);
  f.endpoints[0]->Release();
  BOOST_REQUIRE(f.Until([&] {
    return std::all_of(callers.begin(), callers.end(),
                       [](const auto& c) { return !c->ends.empty(); });
  }));
  BOOST_TEST(f.endpoints[0]->most_in_flight <= 2U);
  BOOST_TEST(f.endpoints[0]->most_connections <= 6U);
}

BOOST_AUTO_TEST_CASE(connections_being_closed_count_towards_the_cap) {
  OwnerFixture f;
  f.spec().connections = 6;
  f.endpoints[0]->lingers = true;
  f.Start();
  for (int i = 0; i < 6; ++i) {
    std::unique_ptr<TestCaller> caller = f.Connect();
    f.endpoints[0]->hold_answers = true;
    f.Send(*caller, "INSERT a");
    size_t count = static_cast<size_t>(i) + 1;
    BOOST_REQUIRE(
        f.Until([&] { return f.endpoints[0]->Count("INSERT a") == count; }));
    caller->to_owner(CloseChannel{});
    f.RunFor(Millis(50));
  }
  BOOST_TEST(f.endpoints[0]->most_connections <= 6U);
}

BOOST_AUTO_TEST_CASE(a_block_pins_its_connection_and_slot) {
  OwnerFixture f;
  f.spec().slots = 1;
  f.Start();
  std::unique_ptr<TestCaller> first = f.Connect("a");
  std::unique_ptr<TestCaller> second = f.Connect("b");
  BOOST_REQUIRE(f.Run(*first, "BEGIN", StatementKind::kBegin));
  BOOST_TEST(first->last().transaction_status == 'T');
  f.Send(*second, "INSERT b");
  f.RunFor(Millis(50));
  BOOST_TEST(f.endpoints[0]->Count("INSERT b") == 0U);
  BOOST_REQUIRE(f.Run(*first, "INSERT a"));
  BOOST_REQUIRE(f.Run(*first, "COMMIT"));
  BOOST_TEST(first->last().transaction_status == 'I');
  BOOST_TEST(first->last().floor.has_value());
  BOOST_REQUIRE(f.Until([&] { return !second->ends.empty(); }));
}

BOOST_AUTO_TEST_CASE(a_caller_gone_in_mid_transaction_frees_its_slot) {
  OwnerFixture f;
  f.spec().slots = 1;
  f.Start();
  std::unique_ptr<TestCaller> first = f.Connect("a");
  BOOST_REQUIRE(f.Run(*first, "BEGIN", StatementKind::kBegin));
  first->to_owner(CloseChannel{});
  std::unique_ptr<TestCaller> second = f.Connect("b");
  BOOST_REQUIRE(f.Run(*second, "INSERT b"));
  BOOST_TEST((second->outcome() == StatementOutcome::kAnswered));
  BOOST_TEST(f.endpoints[0]->Count("ROLLBACK") == 1U);
}

BOOST_AUTO_TEST_CASE(a_caller_gone_while_running_frees_its_slot) {
  OwnerFixture f;
  f.spec().slots = 1;
  f.Start();
  std::unique_ptr<TestCaller> first = f.Connect("a");
  f.endpoints[0]->hold_answers = true;
  f.Send(*first, "INSERT a");
  BOOST_REQUIRE(
      f.Until([&] { return f.endpoints[0]->Count("INSERT a") == 1; }));
  first->to_owner(CloseChannel{});
  f.endpoints[0]->hold_answers = false;
  std::unique_ptr<TestCaller> second = f.Connect("b");
  BOOST_REQUIRE(f.Run(*second, "INSERT b"));
  BOOST_TEST((second->outcome() == StatementOutcome::kAnswered));
  BOOST_TEST(f.endpoints[0]->cancels == 1U);
}

BOOST_AUTO_TEST_CASE(a_block_idle_for_too_long_is_rolled_back) {
  OwnerFixture f;
  f.limits().idle_in_transaction = Millis(100);
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("a");
  BOOST_REQUIRE(f.Run(*caller, "BEGIN", StatementKind::kBegin));
  BOOST_REQUIRE(
      f.Until([&] { return f.endpoints[0]->Count("ROLLBACK") == 1; }));
  BOOST_REQUIRE(f.Run(*caller, "INSERT late"));
  BOOST_TEST(caller->last().sqlstate == "25P03");
  BOOST_TEST(caller->last().transaction_status == 'I');
  BOOST_TEST(f.endpoints[0]->Count("INSERT late") == 0U);
  BOOST_REQUIRE(f.Run(*caller, "INSERT again"));
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
}

BOOST_AUTO_TEST_CASE(a_block_whose_connection_broke_must_run_again) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("a");
  BOOST_REQUIRE(f.Run(*caller, "BEGIN", StatementKind::kBegin));
  f.endpoints[0]->ResetConnections();
  f.RunFor(Millis(50));
  BOOST_REQUIRE(f.Run(*caller, "INSERT a"));
  BOOST_TEST(caller->last().sqlstate == "40001");
  BOOST_TEST(f.endpoints[0]->Count("INSERT a") == 0U);
}

BOOST_AUTO_TEST_CASE(leavings_of_a_statement_are_reset) {
  OwnerFixture f;
  f.spec().slots = 1;
  f.spec().connections = 3;  // leaves a single one for statements
  f.Start();
  std::unique_ptr<TestCaller> first = f.Connect("a");
  std::unique_ptr<TestCaller> second = f.Connect("b");
  BOOST_REQUIRE(f.Run(*first, "INSERT a"));
  BOOST_REQUIRE(f.Run(*first, "INSERT a"));
  BOOST_REQUIRE(f.Run(*second, "INSERT b"));
  std::vector<std::string> expected = {"INSERT a", "DISCARD ALL", "INSERT a",
                                       "DISCARD ALL", "INSERT b"};
  BOOST_TEST(f.endpoints[0]->statements == expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_silent_idle_connection_is_replaced) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("a");
  BOOST_REQUIRE(f.Run(*caller, "INSERT a"));
  size_t seen = f.endpoints[0]->connections_seen;
  f.endpoints[0]->SilenceConnections();
  BOOST_REQUIRE(
      f.Until([&] { return f.endpoints[0]->connections_seen >= seen + 2; }));
  BOOST_REQUIRE(f.Until([&] {
    BOOST_REQUIRE(f.Run(*caller, "SELECT 1", StatementKind::kRead));
    return caller->outcome() == StatementOutcome::kAnswered;
  }));
}

BOOST_AUTO_TEST_CASE(a_write_on_a_connection_gone_silent_ends_unknown) {
  OwnerFixture f;
  f.limits().statement_timeout = Seconds(300);
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("a");
  BOOST_REQUIRE(f.Run(*caller, "INSERT a"));
  f.endpoints[0]->SilenceConnections();
  Statement write = f.Make(*caller, "INSERT silent", StatementKind::kWrite);
  write.deadline = Seconds(300);
  BOOST_REQUIRE(f.Run(*caller, write));
  BOOST_TEST(caller->last().sqlstate == "08007");
  BOOST_TEST(f.endpoints[0]->Count("INSERT silent") == 1U);
  BOOST_REQUIRE(f.Run(*caller, "INSERT after"));
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
  BOOST_TEST(f.proposals.empty());
}

}  // namespace cardamomchute
