#include "cardamomchute/policy/primary_replacement.h"

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

MemberStatus Silent(const std::string& id) {
  MemberStatus answer;
  answer.endpoint.id = EndpointId(id);
  return answer;
}

const EndpointId kLead("p");

MemberStatus Lagging(const std::string& id, uint64_t received, int64_t ms) {
  MemberStatus answer = Member(id, false, 1, received, 0);
  answer.lag = Millis(ms);
  return answer;
}

BOOST_AUTO_TEST_SUITE(succession)

BOOST_AUTO_TEST_CASE(a_lead_is_changed_for_its_readers_only_if_all_lag) {
  MemberStatus lead = Member("p", true, 1, 40, 0);
  Duration bound = Millis(1500);
  BOOST_TEST(ShouldReplaceForLag(
      {lead, Lagging("a", 40, 4000), Lagging("b", 39, 1600)}, kLead, bound));
  BOOST_TEST(!ShouldReplaceForLag(
      {lead, Lagging("a", 40, 4000), Lagging("b", 40, 1500)}, kLead, bound));
  // One that does not answer may hold commits, or serve reads.
  BOOST_TEST(!ShouldReplaceForLag({lead, Lagging("a", 40, 4000), Silent("b")},
                                  kLead, bound));
  BOOST_TEST(!ShouldReplaceForLag({lead}, kLead, bound));
}

BOOST_AUTO_TEST_CASE(readers_get_no_lead_that_lacks_commits_or_leaves) {
  MemberStatus lead = Member("p", true, 1, 400, 0);
  Duration bound = Millis(1500);
  BOOST_TEST(!ShouldReplaceForLag(
      {lead, Lagging("a", 300, 4000), Lagging("b", 310, 4000)}, kLead, bound));
  MemberStatus leaving = Lagging("a", 400, 4000);
  leaving.endpoint.leaving = true;
  BOOST_TEST(!ShouldReplaceForLag({lead, leaving, Lagging("b", 300, 4000)},
                                  kLead, bound));
  // Another endpoint leads by now.
  MemberStatus other = Member("a", true, 2, 400, 0);
  BOOST_TEST(!ShouldReplaceForLag({lead, other, Lagging("b", 400, 4000)}, kLead,
                                  bound));
}

BOOST_AUTO_TEST_CASE(nobody_is_promoted_before_all_replicas_are_paused) {
  ReplacementDecision verdict = NextReplacementStep(
      {Silent("p"), Member("a", false, 1, 9, 0), Member("b", false, 1, 7, 2)},
      kLead);
  BOOST_TEST((verdict.step == ReplacementStep::kPause));
  BOOST_TEST(verdict.term.value() == 2u);
}

BOOST_AUTO_TEST_CASE(the_one_that_received_most_follows) {
  ReplacementDecision verdict = NextReplacementStep(
      {Silent("p"), Member("a", false, 1, 7, 2), Member("b", false, 1, 9, 2)},
      kLead);
  BOOST_TEST((verdict.step == ReplacementStep::kPromote));
  BOOST_TEST(verdict.endpoint.value() == "b");
}

BOOST_AUTO_TEST_CASE(of_equals_one_that_stays_follows) {
  MemberStatus leaving = Member("a", false, 1, 9, 2);
  leaving.endpoint.leaving = true;
  ReplacementDecision verdict =
      NextReplacementStep({leaving, Member("b", false, 1, 9, 2)}, kLead);
  BOOST_TEST(verdict.endpoint.value() == "b");
  leaving.received.position = Position(10);
  BOOST_TEST(NextReplacementStep({leaving, Member("b", false, 1, 9, 2)}, kLead)
                 .endpoint.value() == "a");
}

BOOST_AUTO_TEST_CASE(a_replica_that_does_not_answer_is_waited_for) {
  ReplacementDecision verdict =
      NextReplacementStep({Member("a", false, 1, 9, 2), Silent("b")}, kLead);
  BOOST_TEST((verdict.step == ReplacementStep::kWait));
}

BOOST_AUTO_TEST_CASE(a_pause_of_an_earlier_term_does_not_count) {
  ReplacementDecision verdict = NextReplacementStep(
      {Member("a", false, 3, 9, 3), Member("b", false, 3, 9, 4)}, kLead);
  BOOST_TEST((verdict.step == ReplacementStep::kPause));
  BOOST_TEST(verdict.term.value() == 4u);
}

BOOST_AUTO_TEST_CASE(a_promotion_carried_out_late_is_adopted) {
  ReplacementDecision verdict = NextReplacementStep(
      {Silent("p"), Member("a", true, 2, 9, 0), Member("b", false, 1, 9, 2)},
      kLead);
  BOOST_TEST((verdict.step == ReplacementStep::kAdopt));
  BOOST_TEST(verdict.endpoint.value() == "a");
}

BOOST_AUTO_TEST_CASE(the_leader_of_the_highest_term_counts) {
  std::optional<MemberStatus> leader = FindHighestTermPrimary(
      {Member("p", true, 1, 12, 0), Member("a", true, 2, 9, 0)});
  BOOST_REQUIRE(leader);
  BOOST_TEST(leader->endpoint.id.value() == "a");
  BOOST_TEST(
      !FindHighestTermPrimary({Silent("p"), Member("a", false, 2, 9, 0)}));
}

BOOST_AUTO_TEST_CASE(a_group_of_one_has_no_successor) {
  BOOST_TEST((NextReplacementStep({Silent("p")}, kLead).step ==
              ReplacementStep::kWait));
}

/// Whatever was received where, and whoever is paused when: what a replica
/// that was paused last had received is in the log of the one promoted.
BOOST_AUTO_TEST_CASE(no_order_of_pauses_loses_what_was_acknowledged) {
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
      // The primary goes on until its replicas refuse.
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
      std::vector<MemberStatus> answers = {Silent("p")};
      for (size_t i = 0; i < received.size(); ++i) {
        answers.push_back(Member("r" + std::to_string(i), false, 1, received[i],
                                 paused[i] ? 2 : 0));
      }
      ReplacementDecision verdict = NextReplacementStep(answers, kLead);
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
