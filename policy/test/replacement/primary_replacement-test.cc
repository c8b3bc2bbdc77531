#include "cardamomchute/policy/replacement/primary_replacement.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute {
namespace {

MemberStatus Member(const std::string& id, bool is_primary, uint64_t term,
                    uint64_t received, uint64_t paused_below) {
  MemberStatus answer;
  answer.endpoint.id = EndpointId(id);
  answer.answered = true;
  answer.is_primary = is_primary;
  answer.term = Term(term);
  answer.received = Floor{Term(term), Position(received)};
  answer.paused_below = Term(paused_below);
  return answer;
}

MemberStatus Unreachable(const std::string& id) {
  MemberStatus answer;
  answer.endpoint.id = EndpointId(id);
  return answer;
}

const EndpointId kPrimary("p");
const FormerPrimary kUnreachable{kPrimary};

MemberStatus Lagging(const std::string& id, uint64_t received, int64_t ms) {
  MemberStatus answer = Member(id, false, 1, received, 0);
  answer.lag = Millis(ms);
  return answer;
}

BOOST_AUTO_TEST_SUITE(primary_replacement)

BOOST_AUTO_TEST_CASE(a_primary_is_replaced_for_lag_only_if_all_replicas_lag) {
  MemberStatus lead = Member("p", true, 1, 40, 0);
  Duration bound = Millis(1500);
  BOOST_TEST(ShouldReplaceForLag(
      {lead, Lagging("a", 40, 4000), Lagging("b", 39, 1600)}, kPrimary, bound));
  BOOST_TEST(!ShouldReplaceForLag(
      {lead, Lagging("a", 40, 4000), Lagging("b", 40, 1500)}, kPrimary, bound));
  // An endpoint that does not answer may hold commits or serve reads.
  BOOST_TEST(!ShouldReplaceForLag(
      {lead, Lagging("a", 40, 4000), Unreachable("b")}, kPrimary, bound));
  BOOST_TEST(!ShouldReplaceForLag({lead}, kPrimary, bound));
}

BOOST_AUTO_TEST_CASE(lag_needs_a_successor_that_has_all_commits_and_stays) {
  MemberStatus lead = Member("p", true, 1, 400, 0);
  Duration bound = Millis(1500);
  BOOST_TEST(!ShouldReplaceForLag(
      {lead, Lagging("a", 300, 4000), Lagging("b", 310, 4000)}, kPrimary,
      bound));
  MemberStatus leaving = Lagging("a", 400, 4000);
  leaving.endpoint.leaving = true;
  BOOST_TEST(!ShouldReplaceForLag({lead, leaving, Lagging("b", 300, 4000)},
                                  kPrimary, bound));
  // Another endpoint has become primary.
  MemberStatus other = Member("a", true, 2, 400, 0);
  BOOST_TEST(!ShouldReplaceForLag({lead, other, Lagging("b", 400, 4000)},
                                  kPrimary, bound));
}

BOOST_AUTO_TEST_CASE(no_promotion_before_all_replicas_are_paused) {
  ReplacementDecision verdict =
      NextReplacementStep({Unreachable("p"), Member("a", false, 1, 9, 0),
                           Member("b", false, 1, 7, 2)},
                          kUnreachable);
  BOOST_TEST((verdict.step == ReplacementStep::kPause));
  BOOST_TEST(verdict.term.value() == 2u);
}

BOOST_AUTO_TEST_CASE(the_replica_that_received_most_is_promoted) {
  ReplacementDecision verdict =
      NextReplacementStep({Unreachable("p"), Member("a", false, 1, 7, 2),
                           Member("b", false, 1, 9, 2)},
                          kUnreachable);
  BOOST_TEST((verdict.step == ReplacementStep::kPromote));
  BOOST_TEST(verdict.endpoint.value() == "b");
}

BOOST_AUTO_TEST_CASE(at_equal_positions_a_replica_that_stays_is_promoted) {
  MemberStatus leaving = Member("a", false, 1, 9, 2);
  leaving.endpoint.leaving = true;
  ReplacementDecision verdict =
      NextReplacementStep({leaving, Member("b", false, 1, 9, 2)}, kUnreachable);
  BOOST_TEST(verdict.endpoint.value() == "b");
  leaving.received.position = Position(10);
  BOOST_TEST(
      NextReplacementStep({leaving, Member("b", false, 1, 9, 2)}, kUnreachable)
          .endpoint.value() == "a");
}

BOOST_AUTO_TEST_CASE(waits_for_a_replica_that_does_not_answer) {
  ReplacementDecision verdict = NextReplacementStep(
      {Member("a", false, 1, 9, 2), Unreachable("b")}, kUnreachable);
  BOOST_TEST((verdict.step == ReplacementStep::kWait));
}

BOOST_AUTO_TEST_CASE(a_pause_of_an_earlier_term_does_not_count) {
  ReplacementDecision verdict = NextReplacementStep(
      {Member("a", false, 3, 9, 3), Member("b", false, 3, 9, 4)}, kUnreachable);
  BOOST_TEST((verdict.step == ReplacementStep::kPause));
  BOOST_TEST(verdict.term.value() == 4u);
}

BOOST_AUTO_TEST_CASE(a_demoted_primary_waits_for_a_replica_with_its_log) {
  FormerPrimary former{kPrimary, Floor{Term(1), Position(9)}, true};
  MemberStatus p = Member("p", false, 1, 9, 0);
  MemberStatus a = Member("a", false, 1, 8, 0);
  MemberStatus b = Member("b", false, 1, 7, 0);
  // A paused replica could not catch up.
  BOOST_TEST(
      (NextReplacementStep({p, a, b}, former).step == ReplacementStep::kWait));
  a.received.position = Position(9);
  BOOST_TEST(
      (NextReplacementStep({p, a, b}, former).step == ReplacementStep::kPause));
  a.paused_below = b.paused_below = Term(2);
  BOOST_TEST(NextReplacementStep({p, a, b}, former).endpoint.value() == "a");
}

BOOST_AUTO_TEST_CASE(a_demoted_primary_that_alone_has_its_log_returns) {
  FormerPrimary former{kPrimary, Floor{Term(1), Position(9)}, false};
  MemberStatus p = Member("p", false, 1, 9, 0);
  MemberStatus a = Member("a", false, 1, 8, 2);
  BOOST_TEST(NextReplacementStep({p, a}, former).endpoint.value() == "p");
  // Also if it leaves: nobody else has what it acknowledged.
  p.endpoint.leaving = true;
  BOOST_TEST(NextReplacementStep({p, a}, former).endpoint.value() == "p");
  p.endpoint.leaving = false;
  // It may answer again, as long as it counts as a member.
  former.may_return = true;
  BOOST_TEST((NextReplacementStep({Unreachable("p"), a}, former).step ==
              ReplacementStep::kWait));
  former.may_return = false;
  BOOST_TEST(NextReplacementStep({a}, former).endpoint.value() == "a");
}

BOOST_AUTO_TEST_CASE(a_pause_above_the_newest_term_may_belong_to_an_order) {
  BOOST_TEST(
      AnyPaused({Member("p", true, 1, 9, 0), Member("a", false, 1, 9, 2)}));
  BOOST_TEST(
      !AnyPaused({Member("p", true, 2, 9, 0), Member("a", false, 2, 9, 2)}));
  BOOST_TEST(!AnyPaused({Member("p", true, 1, 9, 0), Unreachable("a")}));
}

PrimaryCheck Check(PrimaryReplacementCause cause) {
  PrimaryCheck check;
  check.primary = kPrimary;
  check.cause = cause;
  check.lag_bound = Millis(1500);
  return check;
}

BOOST_AUTO_TEST_CASE(a_primary_that_answers_stays_unless_the_cause_needs_more) {
  std::vector<MemberStatus> all = {Member("p", true, 1, 9, 0),
                                   Member("a", false, 1, 9, 0)};
  using Cause = PrimaryReplacementCause;
  for (Cause cause :
       {Cause::kReview, Cause::kConfirm, Cause::kTrouble, Cause::kLagging})
    BOOST_TEST(ShouldKeepPrimary(all, Check(cause)));
  BOOST_TEST(!ShouldKeepPrimary(all, Check(Cause::kStalled)));
  BOOST_TEST(!ShouldKeepPrimary(all, Check(Cause::kLeaving)));
  all[1].lag = Millis(4000);
  BOOST_TEST(!ShouldKeepPrimary(all, Check(Cause::kLagging)));
  all[0] = Unreachable("p");
  BOOST_TEST(!ShouldKeepPrimary(all, Check(Cause::kConfirm)));
}

BOOST_AUTO_TEST_CASE(a_primary_does_not_stay_while_a_request_may_take_effect) {
  std::vector<MemberStatus> all = {Member("p", true, 1, 9, 0),
                                   Member("a", false, 1, 9, 2)};
  PrimaryCheck check = Check(PrimaryReplacementCause::kTrouble);
  // An earlier control leader may have sent one.
  BOOST_TEST(!ShouldKeepPrimary(all, check));
  check.confirmed = true;
  BOOST_TEST(ShouldKeepPrimary(all, check));
  check.order_outstanding = true;
  BOOST_TEST(!ShouldKeepPrimary(all, check));
  // Another endpoint has become primary meanwhile, perhaps by an order before
  // the one that is outstanding.
  all[1] = Member("a", true, 2, 9, 0);
  BOOST_TEST(!ShouldKeepPrimary(all, check));
  check.order_outstanding = false;
  BOOST_TEST(ShouldKeepPrimary(all, check));
}

BOOST_AUTO_TEST_CASE(only_some_causes_give_up_a_primary_that_does_not_answer) {
  using Cause = PrimaryReplacementCause;
  for (Cause cause :
       {Cause::kReview, Cause::kTrouble, Cause::kStalled, Cause::kLeaving})
    BOOST_TEST(SuspectsPrimary(cause));
  BOOST_TEST(!SuspectsPrimary(Cause::kConfirm));
  BOOST_TEST(!SuspectsPrimary(Cause::kLagging));
}

/// The log of a primary that leaves is lost with it; one whose writes stall has
/// a log that nobody receives.
BOOST_AUTO_TEST_CASE(the_wait_for_the_log_end_depends_on_the_cause) {
  using Cause = PrimaryReplacementCause;
  BOOST_TEST((LogEndWait(Cause::kLeaving) > LogEndWait(Cause::kLagging)));
  BOOST_TEST((LogEndWait(Cause::kLagging) > Duration()));
  BOOST_TEST((LogEndWait(Cause::kStalled) == Duration()));
}

BOOST_AUTO_TEST_CASE(a_primary_is_confirmed_by_itself_and_one_replica) {
  MemberStatus p = Member("p", true, 2, 9, 0);
  MemberStatus a = Member("a", false, 2, 9, 0);
  BOOST_TEST(ConfirmsPrimary({p, a, Unreachable("b")}, kPrimary));
  BOOST_TEST(ConfirmsPrimary({p}, kPrimary));
  BOOST_TEST(!ConfirmsPrimary({p, Unreachable("a")}, kPrimary));
  BOOST_TEST(!ConfirmsPrimary({Unreachable("p"), a}, kPrimary));
  BOOST_TEST(!ConfirmsPrimary({p, Member("a", false, 2, 9, 3)}, kPrimary));
  BOOST_TEST(!ConfirmsPrimary({p, Member("a", true, 3, 9, 0)}, kPrimary));
  BOOST_TEST(!ConfirmsPrimary({p, Member("a", false, 3, 9, 0)}, kPrimary));
}

BOOST_AUTO_TEST_CASE(a_late_promotion_is_adopted) {
  ReplacementDecision verdict =
      NextReplacementStep({Unreachable("p"), Member("a", true, 2, 9, 0),
                           Member("b", false, 1, 9, 2)},
                          kUnreachable);
  BOOST_TEST((verdict.step == ReplacementStep::kAdopt));
  BOOST_TEST(verdict.endpoint.value() == "a");
}

BOOST_AUTO_TEST_CASE(the_primary_of_the_highest_term_is_found) {
  std::optional<MemberStatus> leader = FindHighestTermPrimary(
      {Member("p", true, 1, 12, 0), Member("a", true, 2, 9, 0)});
  BOOST_REQUIRE(leader);
  BOOST_TEST(leader->endpoint.id.value() == "a");
  BOOST_TEST(
      !FindHighestTermPrimary({Unreachable("p"), Member("a", false, 2, 9, 0)}));
}

BOOST_AUTO_TEST_CASE(a_group_of_one_has_no_successor) {
  BOOST_TEST((NextReplacementStep({Unreachable("p")}, kUnreachable).step ==
              ReplacementStep::kWait));
}

/// Random replication and pause orders: the promoted replica has received every
/// commit that was acknowledged, i.e. received by at least one replica.
BOOST_AUTO_TEST_CASE(no_order_of_pauses_loses_acknowledged_commits) {
  for (uint64_t seed = 1; seed <= 500; ++seed) {
    uint64_t random = seed * 0x9E3779B97F4A7C15ULL;
    auto draw = [&random](uint64_t below) {
      random ^= random << 13;
      random ^= random >> 7;
      random ^= random << 17;
      return random % below;
    };
    std::vector<uint64_t> received(2 + draw(3), 0);
    std::vector<bool> paused(received.size(), false);
    uint64_t log = 0;
    uint64_t acknowledged = 0;
    while (true) {
      // The primary accepts writes until its replicas are paused.
      ++log;
      bool held = false;
      for (size_t i = 0; i < received.size(); ++i) {
        bool gets = !paused[i] && draw(2) == 0;
        if (gets) received[i] = log;
        held = held || gets;
      }
      if (held) acknowledged = log;
      size_t next = draw(received.size());
      if (draw(3) == 0) paused[next] = true;
      std::vector<MemberStatus> answers = {Unreachable("p")};
      for (size_t i = 0; i < received.size(); ++i) {
        answers.push_back(Member("r" + std::to_string(i), false, 1, received[i],
                                 paused[i] ? 2 : 0));
      }
      ReplacementDecision verdict = NextReplacementStep(answers, kUnreachable);
      if (verdict.step != ReplacementStep::kPromote) continue;
      size_t chosen = std::stoul(verdict.endpoint.value().substr(1));
      BOOST_REQUIRE(received[chosen] >= acknowledged);
      break;
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
