/// Replicas that had the only copy of a commit beside the primary's, and are
/// lost.
#include <boost/test/unit_test.hpp>

#include "replacement_fixture.h"

namespace cardamomchute {
namespace {

BOOST_AUTO_TEST_SUITE(lost_copies)

/// The member's announcement that it is about to shut down.
void AnnounceLeaving(ReplacementFixture* s, size_t member) {
  EndpointRecord leaving = s->group.Record(member, "a", ++s->sequence);
  leaving.leaving = true;
  BOOST_REQUIRE(
      s->cluster.RunUntil([&] { return s->cluster.At(0)->Announce(leaving); }));
}

void ShutDown(ReplacementFixture* s, size_t member) {
  s->group.Kill(member);
  s->group.member(member).cut_off = true;
  BOOST_REQUIRE(s->cluster.RunUntil([&] {
    return s->cluster.At(0)->Leave({s->group.member(member).id, kFirstStartMs});
  }));
}

void CrashPrimary(ReplacementFixture* s, size_t member = 0) {
  s->group.Kill(member);
  s->group.member(member).is_primary = false;
  s->listener->link->Report(GroupId("g1"), s->group.member(member).id,
                            EndpointProblem::kRefused);
}

/// The crashed primary's log at a new id.
void ReturnPrimary(ReplacementFixture* s, size_t member = 0) {
  LineMember& returned = s->group.member(3);
  returned.is_primary = true;
  returned.term = s->group.member(member).term;
  returned.received = s->group.member(member).received;
  returned.cut_off = false;
  EndpointRecord record = s->group.Record(3, "a", 1);
  BOOST_REQUIRE(s->cluster.RunUntil([&] {
    return s->cluster.At(0)->Announce(record) &&
           s->cluster.At(0)->Leave({s->group.member(member).id, kFirstStartMs});
  }));
}

BOOST_AUTO_TEST_CASE(
    commits_that_only_a_replica_that_left_had_wait_for_the_primary) {
  ReplacementFixture s(4);
  s.group.member(2).cut_off = true;
  s.group.member(3).cut_off = true;
  BOOST_REQUIRE(s.group.Commit("k", "kept"));
  AnnounceLeaving(&s, 1);
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.group.member(2).silent = true;
  CrashPrimary(&s);
  s.cluster.RunUntil([] { return false; }, Seconds(1));
  ShutDown(&s, 1);
  s.cluster.RunUntil([] { return false; }, Millis(300));
  s.group.member(2).silent = false;
  s.cluster.RunUntil([] { return false; }, Seconds(2));
  BOOST_TEST(s.cluster.orders.empty());
  ReturnPrimary(&s);
  BOOST_TEST(s.cluster.RunUntil([&] { return s.LeadIs("g1-3"); }));
  BOOST_TEST(s.group.CountOf("kept") == 1u);
}

/// The control leader has not read the position of the replica that left.
BOOST_AUTO_TEST_CASE(
    commits_that_a_replica_took_along_before_the_crash_wait_for_the_primary) {
  ReplacementFixture s(4);
  s.group.member(2).cut_off = true;
  s.group.member(3).cut_off = true;
  s.cluster.RunUntil([] { return false; }, Millis(500));
  BOOST_REQUIRE(s.group.Commit("k", "kept"));
  ShutDown(&s, 1);
  s.cluster.RunUntil(
      [&] {
        s.listener->RenewLease();
        return false;
      },
      Seconds(3));
  // The checks of the remaining replica do not keep leases from being renewed.
  BOOST_TEST(s.listener->HasLease("g1-0"));
  CrashPrimary(&s);
  s.cluster.RunUntil([] { return false; }, Seconds(2));
  BOOST_TEST(s.cluster.orders.empty());
  ReturnPrimary(&s);
  BOOST_TEST(s.cluster.RunUntil([&] { return s.LeadIs("g1-3"); }));
  BOOST_TEST(s.group.CountOf("kept") == 1u);
}

BOOST_AUTO_TEST_CASE(a_replica_that_left_delays_nothing_once_another_has_all) {
  ReplacementFixture s;
  s.cluster.RunUntil([] { return false; }, Millis(500));
  BOOST_REQUIRE(s.group.Commit("k", "kept"));
  ShutDown(&s, 1);
  s.cluster.RunUntil([] { return false; }, Seconds(2));
  CrashPrimary(&s);
  BOOST_TEST(s.cluster.RunUntil([&] { return s.LeadIs("g1-2"); }, Seconds(6)));
  BOOST_TEST(s.group.CountOf("kept") == 1u);
}

BOOST_AUTO_TEST_CASE(commits_that_only_the_new_primary_has_wait_for_it) {
  ReplacementFixture s(4);
  s.group.member(2).cut_off = true;
  s.group.member(3).cut_off = true;
  BOOST_REQUIRE(s.group.Commit("k", "kept"));
  s.cluster.RunUntil([] { return false; }, Millis(500));
  CrashPrimary(&s);
  BOOST_REQUIRE(s.cluster.At(0)->Leave({EndpointId("g1-0"), kFirstStartMs}));
  BOOST_REQUIRE(s.cluster.RunUntil([&] { return s.LeadIs("g1-1"); }));
  s.cluster.RunUntil([] { return false; }, Seconds(2));
  size_t sent = s.cluster.orders.size();
  CrashPrimary(&s, 1);
  s.cluster.RunUntil([] { return false; }, Seconds(2));
  BOOST_TEST(s.cluster.orders.size() == sent);
  ReturnPrimary(&s, 1);
  BOOST_TEST(s.cluster.RunUntil([&] { return s.LeadIs("g1-3"); }));
  BOOST_TEST(s.group.CountOf("kept") == 1u);
}

/// It has left for good, and its log with it.
BOOST_AUTO_TEST_CASE(a_primary_that_does_not_return_is_replaced_by_the_best) {
  ReplacementFixture s;
  s.group.member(2).cut_off = true;
  BOOST_REQUIRE(s.group.Commit("k", "lost"));
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.group.member(2).silent = true;
  CrashPrimary(&s);
  s.cluster.RunUntil([] { return false; }, Seconds(1));
  ShutDown(&s, 1);
  s.group.member(2).silent = false;
  s.cluster.RunUntil([] { return false; }, Seconds(1));
  BOOST_TEST(s.cluster.orders.empty());
  BOOST_REQUIRE(s.cluster.At(0)->Leave({EndpointId("g1-0"), kFirstStartMs}));
  s.cluster.RunUntil(
      [&] {
        s.Complain(EndpointProblem::kRefused);
        return !s.cluster.orders.empty();
      },
      Seconds(10));
  BOOST_TEST(!s.cluster.orders.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
