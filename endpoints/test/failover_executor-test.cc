#include "failover_executor.h"

#include <boost/test/unit_test.hpp>

#include "owner_fixture.h"

namespace cardamomchute {
namespace {

bool Proposed(const OwnerFixture& f, GroupChange::Kind kind) {
  return std::any_of(f.proposals.begin(), f.proposals.end(),
                     [kind](const GroupChange& c) { return c.kind == kind; });
}

/// Makes the other members follow `primary` in its term, as PostgreSQL replicas
/// do.
void Follow(OwnerFixture& f, size_t primary) {
  for (size_t i = 0; i < f.endpoints.size(); ++i) {
    if (i == primary) continue;
    f.endpoints[i]->term = f.endpoints[primary]->term;
    f.endpoints[primary]->replicas.push_back(f.endpoints[i].get());
  }
}

bool WriteUntilAnswered(OwnerFixture& f, TestCaller& caller) {
  return f.RunUntil([&] {
    return f.Run(caller, "INSERT a") &&
           caller.outcome() == StatementOutcome::kAnswered;
  });
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_killed_primary_is_replaced_by_the_furthest_replica) {
  OwnerFixture f(3);
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  BOOST_REQUIRE(f.Run(*caller, "INSERT first"));
  f.endpoints[2]->received += 50;
  f.RunFor(Millis(300));
  f.endpoints[0]->Kill();
  BOOST_REQUIRE(WriteUntilAnswered(f, *caller));
  BOOST_TEST(f.record().primary == f.Id(2));
  BOOST_TEST(f.record().term == Term(2));
  BOOST_TEST(caller->last().floor->term == Term(2));
  std::string follow = pgwire::FollowSql(f.endpoints[2]->address());
  BOOST_REQUIRE(f.RunUntil([&] { return f.endpoints[1]->Count(follow) == 1; }));
}

BOOST_AUTO_TEST_CASE(a_silent_primary_is_replaced) {
  OwnerFixture f(2);
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  BOOST_REQUIRE(f.Run(*caller, "INSERT first"));
  f.endpoints[0]->silent = true;
  f.endpoints[0]->replicas.clear();
  BOOST_REQUIRE(WriteUntilAnswered(f, *caller));
  BOOST_TEST(f.record().primary == f.Id(1));
}

BOOST_AUTO_TEST_CASE(a_stalled_primary_is_not_replaced) {
  OwnerFixture f(2);
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  BOOST_REQUIRE(f.Run(*caller, "INSERT first"));
  f.endpoints[0]->hold_probes = true;
  f.endpoints[0]->hold_answers = true;
  f.Send(*caller, "INSERT stalled");
  f.RunFor(Millis(500));
  f.endpoints[0]->Release();
  BOOST_REQUIRE(f.RunUntil([&] { return caller->ends.size() == 2; }));
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
  f.RunFor(Millis(300));
  BOOST_TEST(f.proposals.empty());
}

BOOST_AUTO_TEST_CASE(a_primary_that_other_vms_reach_moves_group_ownership) {
  OwnerFixture f(2);
  ProbeObservation seen;
  seen.reached = true;
  seen.is_primary = true;
  seen.position = Floor{Term(1), Position(1000)};
  f.observations = {seen};
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  BOOST_REQUIRE(f.Run(*caller, "INSERT first"));
  f.endpoints[0]->silent = true;
  BOOST_REQUIRE(f.RunUntil([&] { return !caller->resets.empty(); }));
  BOOST_TEST(Proposed(f, GroupChange::Kind::kRelease));
  BOOST_TEST(!Proposed(f, GroupChange::Kind::kFailoverIntent));
  BOOST_TEST(f.endpoints[1]->Count(std::string(pgwire::kPromoteSql)) == 0U);
}

BOOST_AUTO_TEST_CASE(nothing_is_promoted_without_the_quorum) {
  OwnerFixture f(2);
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  BOOST_REQUIRE(f.Run(*caller, "INSERT first"));
  f.refuse_proposals = true;
  f.endpoints[0]->Kill();
  BOOST_REQUIRE(f.RunUntil([&] { return f.proposals.size() >= 3; }));
  BOOST_TEST(f.endpoints[1]->Count(std::string(pgwire::kPromoteSql)) == 0U);
}

BOOST_AUTO_TEST_CASE(an_unfinished_failover_is_finished_by_the_next_owner) {
  OwnerFixture f(3);
  f.record().failover = FailoverIntent{f.Id(1), Term(1)};
  f.endpoints[0]->Kill();
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  BOOST_REQUIRE(WriteUntilAnswered(f, *caller));
  BOOST_TEST(f.record().primary == f.Id(1));
  BOOST_TEST(!Proposed(f, GroupChange::Kind::kFailoverIntent));
}

BOOST_AUTO_TEST_CASE(an_unreachable_candidate_is_given_up) {
  OwnerFixture f(3);
  f.record().failover = FailoverIntent{f.Id(1), Term(1)};
  f.endpoints[0]->Kill();
  f.endpoints[1]->Kill();
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  BOOST_REQUIRE(WriteUntilAnswered(f, *caller));
  BOOST_TEST(f.record().primary == f.Id(2));
}

BOOST_AUTO_TEST_CASE(a_returned_primary_gets_no_statements) {
  OwnerFixture f(3);
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  BOOST_REQUIRE(f.Run(*caller, "INSERT first"));
  f.endpoints[0]->silent = true;
  BOOST_REQUIRE(WriteUntilAnswered(f, *caller));
  f.endpoints[0]->silent = false;
  f.endpoints[0]->ResetConnections();
  size_t before = f.endpoints[0]->statements.size();
  size_t probes = f.endpoints[0]->probes;
  BOOST_REQUIRE(
      f.RunUntil([&] { return f.endpoints[0]->probes > probes + 2; }));
  for (int i = 0; i < 20; ++i) {
    BOOST_REQUIRE(f.Run(*caller, "INSERT b"));
    BOOST_REQUIRE(f.Run(*caller, "SELECT 1", StatementKind::kRead));
  }
  BOOST_TEST(f.endpoints[0]->statements.size() == before);
  BOOST_TEST(f.record().primary != f.Id(0));
}

BOOST_AUTO_TEST_CASE(a_write_in_flight_at_a_failover_ends_unknown) {
  OwnerFixture f(2);
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  f.endpoints[0]->hold_answers = true;
  f.Send(*caller, "INSERT lost");
  BOOST_REQUIRE(
      f.RunUntil([&] { return f.endpoints[0]->Count("INSERT lost") == 1; }));
  f.endpoints[0]->silent = true;
  BOOST_REQUIRE(f.RunUntil([&] { return !caller->ends.empty(); }));
  BOOST_TEST(caller->last().sqlstate == "08007");
  BOOST_TEST(f.endpoints[1]->Count("INSERT lost") == 0U);
}

BOOST_AUTO_TEST_CASE(floors_of_a_term_hold_up_to_its_end) {
  OwnerFixture f(2);
  f.Start();
  std::unique_ptr<TestCaller> kept = f.Connect("kept");
  std::unique_ptr<TestCaller> lost = f.Connect("lost");
  BOOST_REQUIRE(f.Run(*kept, "INSERT kept"));
  f.endpoints[0]->replicas.clear();
  BOOST_REQUIRE(f.Run(*lost, "INSERT lost"));
  f.endpoints[0]->Kill();
  BOOST_REQUIRE(f.RunUntil([&] { return f.record().term == Term(2); }));
  BOOST_REQUIRE(f.Run(*kept, "SELECT 1", StatementKind::kRead));
  BOOST_TEST((kept->outcome() == StatementOutcome::kAnswered));
  BOOST_REQUIRE(f.Run(*lost, "SELECT 1", StatementKind::kRead));
  BOOST_TEST((lost->outcome() == StatementOutcome::kNotRun));
  BOOST_TEST(lost->last().sqlstate == "40001");
}

BOOST_AUTO_TEST_CASE(two_failovers_in_a_row) {
  OwnerFixture f(3);
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  BOOST_REQUIRE(f.Run(*caller, "INSERT first"));
  f.endpoints[0]->Kill();
  BOOST_REQUIRE(WriteUntilAnswered(f, *caller));
  size_t second = f.record().primary == f.Id(1) ? 1 : 2;
  Follow(f, second);
  f.RunFor(Millis(300));
  f.endpoints[second]->Kill();
  BOOST_REQUIRE(WriteUntilAnswered(f, *caller));
  BOOST_TEST(f.record().term == Term(3));
}

BOOST_AUTO_TEST_CASE(a_leaving_endpoint_gets_no_new_statements) {
  OwnerFixture f(2);
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  BOOST_REQUIRE(f.Run(*caller, "INSERT first"));
  f.view = std::make_shared<ClusterView>(*f.view);
  f.view->endpoints[f.Id(1)].leaving = true;
  f.Publish();
  size_t before = f.endpoints[1]->statements.size();
  for (int i = 0; i < 10; ++i) {
    BOOST_REQUIRE(f.Run(*caller, "SELECT 1", StatementKind::kRead));
  }
  BOOST_TEST(f.endpoints[1]->statements.size() == before);
}

BOOST_AUTO_TEST_CASE(a_leaving_primary_hands_over) {
  OwnerFixture f(2);
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  BOOST_REQUIRE(f.Run(*caller, "INSERT first"));
  f.view = std::make_shared<ClusterView>(*f.view);
  f.view->endpoints[f.Id(0)].leaving = true;
  f.Publish();
  BOOST_REQUIRE(f.Run(*caller, "INSERT second"));
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
  BOOST_TEST(f.record().primary == f.Id(1));
  BOOST_TEST(f.endpoints[0]->Count("INSERT second") == 0U);
}

BOOST_AUTO_TEST_CASE(a_replica_without_the_acknowledged_write_is_not_promoted) {
  OwnerFixture f(3);
  f.spec().ack = AckMode::kReplicated;
  f.endpoints[0]->replicas = {f.endpoints[2].get()};
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  BOOST_REQUIRE(f.Run(*caller, "INSERT first"));
  BOOST_REQUIRE((caller->outcome() == StatementOutcome::kAnswered));
  f.endpoints[2]->silent = true;
  f.RunFor(kCandidateFreshness + Millis(100));
  f.endpoints[0]->Kill();
  f.RunFor(Seconds(3));
  BOOST_TEST(f.endpoints[1]->Count(std::string(pgwire::kPromoteSql)) == 0U);
  BOOST_TEST(f.record().primary == f.Id(0));
  f.endpoints[2]->silent = false;
  f.endpoints[2]->ResetConnections();
  BOOST_REQUIRE(f.RunUntil([&] { return f.record().primary == f.Id(2); }));
}

BOOST_AUTO_TEST_CASE(a_new_owner_waits_for_the_replica_with_the_only_copy) {
  OwnerFixture f(3);
  f.spec().ack = AckMode::kReplicated;
  f.endpoints[2]->received += 50;
  f.endpoints[0]->Kill();
  f.endpoints[2]->silent = true;
  f.Start();
  f.RunFor(Seconds(3));
  BOOST_TEST(f.endpoints[1]->Count(std::string(pgwire::kPromoteSql)) == 0U);
  f.endpoints[2]->silent = false;
  f.endpoints[2]->ResetConnections();
  BOOST_REQUIRE(f.RunUntil([&] { return f.record().primary == f.Id(2); }));
}

BOOST_AUTO_TEST_CASE(a_new_owner_waits_for_a_replica_that_is_not_announced) {
  OwnerFixture f(3);
  f.spec().ack = AckMode::kReplicated;
  f.endpoints[2]->received += 50;
  f.endpoints[0]->Kill();
  f.endpoints[2]->silent = true;
  f.Start();
  f.RunFor(Millis(100));
  f.view = std::make_shared<ClusterView>(*f.view);
  EndpointState away = f.view->endpoints[f.Id(2)];
  f.view->endpoints.erase(f.Id(2));
  f.Publish();
  f.RunFor(Seconds(3));
  BOOST_TEST(f.endpoints[1]->Count(std::string(pgwire::kPromoteSql)) == 0U);
  f.endpoints[2]->silent = false;
  f.view = std::make_shared<ClusterView>(*f.view);
  f.view->endpoints[f.Id(2)] = away;
  f.Publish();
  BOOST_REQUIRE(f.RunUntil([&] { return f.record().primary == f.Id(2); }));
}

BOOST_AUTO_TEST_CASE(a_promotion_that_takes_effect_late_loses_no_write) {
  OwnerFixture f(3);
  f.spec().ack = AckMode::kReplicated;
  f.endpoints[2]->primary = true;
  f.endpoints[2]->term = 2;
  f.endpoints[0]->replicas = {f.endpoints[1].get()};
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  BOOST_REQUIRE(f.Run(*caller, "INSERT first"));
  BOOST_REQUIRE((caller->outcome() == StatementOutcome::kAnswered));
  f.endpoints[0]->Kill();
  BOOST_REQUIRE(f.RunUntil([&] { return f.record().primary != f.Id(0); }));
  BOOST_TEST(f.record().primary == f.Id(1));
}

BOOST_AUTO_TEST_CASE(a_replica_that_was_started_again_has_what_it_replayed) {
  OwnerFixture f(3);
  f.spec().ack = AckMode::kReplicated;
  f.endpoints[0]->replicas = {f.endpoints[1].get()};
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  BOOST_REQUIRE(f.Run(*caller, "INSERT first"));
  BOOST_REQUIRE((caller->outcome() == StatementOutcome::kAnswered));
  f.endpoints[0]->Kill();
  f.endpoints[1]->received = 0;
  BOOST_REQUIRE(f.RunUntil([&] { return f.record().primary != f.Id(0); },
                           kLostReplicaTimeout));
  BOOST_TEST(f.record().primary == f.Id(1));
}

BOOST_AUTO_TEST_CASE(a_replica_without_a_source_keeps_its_term) {
  OwnerFixture f(3);
  f.spec().ack = AckMode::kReplicated;
  f.SetRecordedPrimary(0, 2);
  for (std::unique_ptr<FakeEndpoint>& endpoint : f.endpoints) {
    endpoint->term = 2;
  }
  FakeEndpoint* holder = f.endpoints[1].get();
  f.endpoints[0]->replicas = {holder};
  holder->before_answer = [holder](const std::string& sql) {
    if (sql == pgwire::kPromoteSql) holder->term = 3;
  };
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  BOOST_REQUIRE(f.Run(*caller, "INSERT first"));
  BOOST_REQUIRE((caller->outcome() == StatementOutcome::kAnswered));
  f.endpoints[0]->Kill();
  holder->term = 1;
  BOOST_REQUIRE(f.RunUntil([&] { return f.record().primary != f.Id(0); },
                           kLostReplicaTimeout));
  BOOST_TEST(f.record().primary == f.Id(1));
}

BOOST_AUTO_TEST_CASE(a_primary_that_recovered_is_abandoned_again) {
  OwnerFixture f(2);
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  f.endpoints[1]->Kill();  // so that no successor ends the failover
  FakeEndpoint& primary = *f.endpoints[0];
  for (std::string sql : {"INSERT first", "INSERT second"}) {
    BOOST_REQUIRE(WriteUntilAnswered(f, *caller));
    primary.hold_answers = true;
    size_t ends = caller->ends.size();
    f.Send(*caller, sql);
    BOOST_REQUIRE(f.RunUntil([&] { return primary.Count(sql) == 1; }));
    primary.silent = true;
    BOOST_REQUIRE(f.RunUntil([&] { return caller->ends.size() > ends; }));
    BOOST_TEST(caller->last().message ==
               "the statement's outcome is unknown: primary is being replaced");
    primary.hold_answers = false;
    primary.silent = false;
    primary.ResetConnections();
  }
}

}  // namespace cardamomchute
