#include "cardamomchute/fleet/primary_replacement.h"

#include <boost/test/unit_test.hpp>

#include "replacement_fixture.h"

namespace cardamomchute {
namespace {

BOOST_AUTO_TEST_SUITE(primary_replacement)

/// Announces that the primary is about to shut down.
void AnnounceLeaving(ReplacementFixture* s) {
  EndpointRecord leaving = s->group.Record(0, "a", ++s->sequence);
  leaving.leaving = true;
  BOOST_REQUIRE(s->cluster.At(0)->Announce(leaving));
}

BOOST_AUTO_TEST_CASE(a_dead_primary_is_replaced_by_what_received_most) {
  ReplacementFixture s;
  s.group.member(1).received = 3;
  s.group.member(2).received = 5;
  s.group.Kill(0);
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.Complain(EndpointProblem::kRefused);
  BOOST_TEST(s.cluster.RunUntil([&] { return s.LeadIs("g1-2"); }));
  BOOST_REQUIRE(s.cluster.orders.size() == 1u);
  BOOST_TEST(s.cluster.orders[0].fence_token > 0u);
}

BOOST_AUTO_TEST_CASE(a_primary_that_answers_is_kept) {
  ReplacementFixture s;
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.Complain(EndpointProblem::kSilent);
  s.cluster.RunUntil([] { return false; }, Seconds(1));
  BOOST_TEST(s.cluster.orders.empty());
  BOOST_TEST(s.LeadIs("g1-0"));
}

BOOST_AUTO_TEST_CASE(nobody_is_promoted_while_a_replica_is_silent) {
  ReplacementFixture s;
  s.group.Kill(0);
  s.group.member(2).silent = true;
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.Complain(EndpointProblem::kRefused);
  s.cluster.RunUntil([] { return false; }, Seconds(2));
  BOOST_TEST(s.cluster.orders.empty());
  s.group.member(2).silent = false;
  BOOST_TEST(s.cluster.RunUntil([&] { return !s.cluster.orders.empty(); }));
}

BOOST_AUTO_TEST_CASE(
    an_unanswered_order_is_followed_by_one_with_a_higher_token) {
  ReplacementFixture s;
  s.group.Kill(0);
  s.lose_orders = 1;
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.Complain(EndpointProblem::kRefused);
  BOOST_TEST(s.cluster.RunUntil([&] { return s.cluster.orders.size() >= 2; }));
  BOOST_TEST((s.cluster.orders[0].endpoint == s.cluster.orders[1].endpoint));
  BOOST_TEST(s.cluster.orders[0].fence_token < s.cluster.orders[1].fence_token);
}

BOOST_AUTO_TEST_CASE(a_lead_whose_replicas_all_lag_hands_over) {
  ReplacementFixture s;
  BOOST_REQUIRE((s.cluster.Put(BoundedLayoutText(2)) == CallOutcome::kDone));
  s.group.member(1).lag_ms = 4000;
  s.group.member(2).lag_ms = 20;
  s.cluster.RunUntil([] { return false; }, Millis(500));
  GroupId group("g1");
  s.listener->link->Report(group, EndpointId("g1-1"),
                           EndpointProblem::kLagging);
  s.cluster.RunUntil([] { return false; }, Seconds(1));
  BOOST_TEST(s.cluster.orders.empty());
  s.group.member(2).lag_ms = 4000;
  s.listener->link->Report(group, EndpointId("g1-2"),
                           EndpointProblem::kLagging);
  BOOST_TEST(
      s.cluster.RunUntil([&] { return s.LeadIs("g1-1") || s.LeadIs("g1-2"); }));
  BOOST_TEST(s.cluster.orders.size() == 1u);
}

/// All connections of the primary are taken, so that control cannot ask it.
BOOST_AUTO_TEST_CASE(a_primary_that_cannot_be_asked_is_not_replaced_for_lag) {
  ReplacementFixture s;
  BOOST_REQUIRE((s.cluster.Put(BoundedLayoutText(2)) == CallOutcome::kDone));
  s.group.member(0).full = true;
  s.group.member(1).lag_ms = 4000;
  s.group.member(2).lag_ms = 4000;
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.listener->link->Report(GroupId("g1"), EndpointId("g1-1"),
                           EndpointProblem::kLagging);
  s.cluster.RunUntil([] { return false; }, Seconds(1));
  BOOST_TEST(s.cluster.orders.empty());
  BOOST_TEST(s.group.member(0).is_primary);
}

BOOST_AUTO_TEST_CASE(a_primary_without_a_free_connection_is_asked_again) {
  ReplacementFixture s;
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.group.member(0).full = true;
  s.Complain(EndpointProblem::kSilent);
  s.cluster.RunUntil([] { return false; }, Millis(60));
  s.group.member(0).full = false;
  s.cluster.RunUntil([] { return false; }, Millis(800));
  BOOST_TEST(s.cluster.orders.empty());
  BOOST_TEST(s.LeadIs("g1-0"));
}

BOOST_AUTO_TEST_CASE(a_leaving_primary_hands_over) {
  ReplacementFixture s;
  EndpointRecord leaving = s.group.Record(0, "a", ++s.sequence);
  leaving.leaving = true;
  BOOST_REQUIRE(s.cluster.At(0)->Announce(leaving));
  BOOST_TEST(
      s.cluster.RunUntil([&] { return s.LeadIs("g1-1") || s.LeadIs("g1-2"); }));
  BOOST_TEST(!s.group.member(0).is_primary);
}

/// A replica that no control member knows receives commits, and so has them
/// acknowledged, while all known replicas are paused.
BOOST_AUTO_TEST_CASE(no_commit_is_acknowledged_after_the_positions_are_read) {
  ReplacementFixture s(4);
  int pauses = 0;
  bool acknowledged = false;
  s.group.on_pause = [&] {
    // All known replicas are paused after the second.
    if (++pauses == 2) acknowledged = s.group.Commit("k", "late");
  };
  AnnounceLeaving(&s);
  BOOST_REQUIRE(
      s.cluster.RunUntil([&] { return s.LeadIs("g1-1") || s.LeadIs("g1-2"); }));
  BOOST_TEST(pauses == 2);
  BOOST_TEST(s.group.CountOf("late") == (acknowledged ? 1u : 0u));
}

BOOST_AUTO_TEST_CASE(a_replica_that_joins_meanwhile_and_has_more_takes_over) {
  ReplacementFixture s(4);
  s.group.member(1).cut_off = true;
  s.group.member(2).cut_off = true;
  BOOST_REQUIRE(s.group.Commit("k", "kept"));
  AnnounceLeaving(&s);
  s.cluster.RunUntil([&] { return !s.group.member(0).is_primary; },
                     Millis(500));
  BOOST_REQUIRE(s.cluster.At(1)->Announce(s.group.Record(3, "a", 1)));
  BOOST_TEST(s.cluster.RunUntil([&] { return s.LeadIs("g1-3"); }));
  BOOST_TEST(s.group.CountOf("kept") == 1u);
}

/// Nobody else has the newest commits, and the primary stays: it takes over
/// again.
BOOST_AUTO_TEST_CASE(a_lagging_group_keeps_the_primary_that_alone_has_all) {
  ReplacementFixture s(4);
  BOOST_REQUIRE((s.cluster.Put(BoundedLayoutText(2)) == CallOutcome::kDone));
  for (size_t i = 1; i < 3; ++i) {
    s.group.member(i).cut_off = true;
    s.group.member(i).lag_ms = 4000;
  }
  BOOST_REQUIRE(s.group.Commit("k", "kept"));
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.listener->link->Report(GroupId("g1"), EndpointId("g1-1"),
                           EndpointProblem::kLagging);
  BOOST_TEST(s.cluster.RunUntil([&] { return !s.cluster.orders.empty(); }));
  BOOST_TEST(s.cluster.RunUntil([&] { return s.group.member(0).is_primary; }));
  BOOST_TEST(s.group.CountOf("kept") == 1u);
}

BOOST_AUTO_TEST_CASE(a_stalled_primary_acknowledges_nothing_more_either) {
  ReplacementFixture s(4);
  int pauses = 0;
  bool acknowledged = false;
  s.group.on_pause = [&] {
    if (++pauses == 2) acknowledged = s.group.Commit("k", "late");
  };
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.Complain(EndpointProblem::kStalled);
  BOOST_REQUIRE(
      s.cluster.RunUntil([&] { return s.LeadIs("g1-1") || s.LeadIs("g1-2"); }));
  BOOST_TEST(s.group.CountOf("late") == (acknowledged ? 1u : 0u));
}

/// An earlier control leader demoted the primary and died. The replicas that it
/// knew lack a commit that another one acknowledged.
BOOST_AUTO_TEST_CASE(the_log_of_a_primary_that_is_found_demoted_counts) {
  ReplacementFixture s(4);
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.group.member(1).cut_off = true;
  s.group.member(2).cut_off = true;
  BOOST_REQUIRE(s.group.Commit("k", "kept"));
  s.group.member(0).is_primary = false;
  s.Complain(EndpointProblem::kNotPrimary);
  BOOST_TEST(s.cluster.RunUntil([&] { return !s.cluster.orders.empty(); }));
  BOOST_TEST(s.cluster.RunUntil([&] { return s.group.member(0).is_primary; }));
  BOOST_TEST(s.group.CountOf("kept") == 1u);
}

/// The replicas are paused before a request to promote is sent: a leader that
/// finds them paused cannot know whether the request of an earlier one will
/// still take effect.
BOOST_AUTO_TEST_CASE(a_replacement_that_an_earlier_leader_began_is_completed) {
  ReplacementFixture s;
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.group.member(1).paused_below = 2;
  s.group.member(2).paused_below = 2;
  s.cluster.Stop(*s.cluster.Leader());
  BOOST_TEST(s.cluster.RunUntil([&] { return !s.cluster.orders.empty(); }));
  BOOST_TEST(s.cluster.RunUntil([&] { return !s.group.member(0).is_primary; }));
}

BOOST_AUTO_TEST_CASE(tokens_rise_with_each_reign) {
  ReplacementFixture s;
  s.group.Kill(0);
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.Complain(EndpointProblem::kRefused);
  BOOST_REQUIRE(
      s.cluster.RunUntil([&] { return s.cluster.orders.size() == 1; }));
  BOOST_REQUIRE(s.cluster.RunUntil([&] { return !s.LeadIs("g1-0"); }));
  size_t old_leader = *s.cluster.Leader();
  std::string second =
      CurrentPrimary(s.listener->directory, GroupId("g1"))->id.value();
  s.cluster.Stop(old_leader);
  BOOST_REQUIRE(
      s.cluster.RunUntil([&] { return s.cluster.Leader().has_value(); }));
  EndpointRecord leaving;
  for (size_t i = 0; i < 3; ++i) {
    if (s.group.member(i).id.value() == second)
      leaving = s.group.Record(i, "a", 90);
  }
  leaving.leaving = true;
  // The dead one has left for good, so that nobody waits for it.
  size_t up = *s.cluster.Leader();
  s.cluster.RunUntil([&] {
    return s.cluster.At(up)->Leave({EndpointId("g1-0"), kFirstStartMs}) &&
           s.cluster.At(up)->Announce(leaving);
  });
  BOOST_TEST(s.cluster.RunUntil([&] { return s.cluster.orders.size() >= 2; }));
  BOOST_TEST(s.cluster.orders.back().fence_token >
             s.cluster.orders.front().fence_token);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
