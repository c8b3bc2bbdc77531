#include "cardamomchute/policy/quorum/quorum.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "quorum_model.h"

namespace cardamomchute {
namespace {

using quorum_model::kStep;
using quorum_model::kTiming;
using quorum_model::Model;

/// One of three members, driven step by step; all its writes are synced.
struct SingleMember {
  QuorumState state;
  Time now{1000};

  explicit SingleMember(StoredQuorum stored) {
    for (size_t i = 0; i < 3; ++i) {
      stored.snapshot.config.members[Model::Name(i)] =
          QuorumMember{VmId(Model::Name(i).value()), Address{}, true};
    }
    state = MakeQuorum(Model::Name(0), std::move(stored), kTiming, 1, now);
  }
  QuorumOutput Flush() {
    QuorumOutput all;
    while (true) {
      QuorumOutput output = TakeOutput(state, now);
      if (output.Empty()) return all;
      all.confirmed = std::max(all.confirmed, output.confirmed);
      LogIndex last = LastIndex(state);
      OnPersisted(state, last, *TermAt(state, last), now);
    }
  }
  void Receive(size_t from, decltype(QuorumMessage::body) body) {
    OnMessage(state,
              QuorumMessage{Model::Name(from), state.self, state.vote.term,
                            std::move(body)},
              now);
  }
  void Elect() {
    now = now + kTiming.election_max;
    OnTick(state, now);
    Receive(1, VoteResponse{true, true});
    Receive(1, VoteResponse{false, true});
    BOOST_REQUIRE((state.role == QuorumRole::kLeader));
    Flush();
  }
};

BOOST_AUTO_TEST_SUITE(quorum)

BOOST_AUTO_TEST_CASE(entries_of_earlier_terms_do_not_commit_by_counting) {
  StoredQuorum stored;
  stored.vote.term = QuorumTerm(3);
  stored.entries.push_back(LogEntry{LogIndex(1), QuorumTerm(2)});
  SingleMember member(stored);
  member.Elect();
  BOOST_TEST(member.state.vote.term.value() == 4u);
  member.Receive(1, AppendResponse{true, LogIndex(1), Round()});
  BOOST_TEST(member.state.commit.value() == 0u);
  member.Receive(1, AppendResponse{true, LogIndex(2), Round()});
  BOOST_TEST(member.state.commit.value() == 2u);
}

BOOST_AUTO_TEST_CASE(follower_commits_only_entries_matched_by_its_leader) {
  StoredQuorum stored;
  stored.vote.term = QuorumTerm(3);
  stored.entries.push_back(LogEntry{LogIndex(1), QuorumTerm(1)});
  stored.entries.push_back(LogEntry{LogIndex(2), QuorumTerm(1)});
  SingleMember member(stored);
  AppendRequest heartbeat;
  heartbeat.previous_index = LogIndex(1);
  heartbeat.previous_term = QuorumTerm(1);
  heartbeat.commit = LogIndex(2);
  member.Receive(1, heartbeat);
  BOOST_TEST(member.state.commit.value() == 1u);
  heartbeat.entries.push_back(LogEntry{LogIndex(2), QuorumTerm(2)});
  member.Receive(1, heartbeat);
  BOOST_TEST(member.state.commit.value() == 2u);
  BOOST_TEST(member.state.log.back().term.value() == 2u);
}

BOOST_AUTO_TEST_CASE(invalid_messages_are_ignored) {
  SingleMember member{StoredQuorum()};
  AppendRequest gap;
  gap.entries.push_back(LogEntry{LogIndex(7), QuorumTerm(1)});
  member.Receive(1, gap);
  BOOST_TEST(member.state.log.empty());
  member.Elect();
  member.Receive(1, AppendResponse{true, LogIndex(99), Round(99)});
  BOOST_TEST(member.state.commit.value() == 0u);
  BOOST_TEST((member.Flush().confirmed == Round()));
}

BOOST_AUTO_TEST_CASE(responses_to_earlier_rounds_confirm_no_later_round) {
  SingleMember member{StoredQuorum()};
  member.Elect();
  member.Receive(1, AppendResponse{true, LogIndex(1), member.state.round});
  member.Flush();
  Round earlier = member.state.round;
  Round later = *StartRound(member.state);
  member.Flush();
  member.Receive(1, AppendResponse{true, LogIndex(1), earlier});
  member.Receive(2, AppendResponse{true, LogIndex(1), earlier});
  BOOST_TEST((member.Flush().confirmed < later));
  member.Receive(2, AppendResponse{true, LogIndex(1), later});
  BOOST_TEST((member.Flush().confirmed == later));
}

BOOST_AUTO_TEST_CASE(rounds_confirm_only_after_a_commit_in_the_current_term) {
  StoredQuorum stored;
  stored.entries.push_back(LogEntry{LogIndex(1), QuorumTerm()});
  SingleMember member(stored);
  member.Elect();
  Round round = *StartRound(member.state);
  member.Flush();
  member.Receive(1, AppendResponse{true, LogIndex(1), round});
  BOOST_TEST((member.Flush().confirmed == Round()));
  member.Receive(1, AppendResponse{true, LogIndex(2), round});
  BOOST_TEST((member.Flush().confirmed == round));
}

BOOST_AUTO_TEST_CASE(leader_without_answers_steps_down) {
  SingleMember member{StoredQuorum()};
  member.Elect();
  member.now = member.now + kTiming.election_max - Millis(1);
  OnTick(member.state, member.now);
  BOOST_TEST((member.state.role == QuorumRole::kLeader));
  member.now = member.now + Millis(1);
  OnTick(member.state, member.now);
  BOOST_TEST((member.state.role == QuorumRole::kFollower));
}

BOOST_AUTO_TEST_CASE(membership_changes_by_one_voter_at_a_time) {
  SingleMember member{StoredQuorum()};
  member.Elect();
  QuorumConfig config = member.state.config;
  config.members.erase(Model::Name(2));
  BOOST_TEST(!ProposeConfig(member.state, config));
  member.Receive(1, AppendResponse{true, LogIndex(1), member.state.round});
  QuorumConfig two = config;
  two.members.erase(Model::Name(1));
  BOOST_TEST(!ProposeConfig(member.state, two));
  BOOST_TEST(ProposeConfig(member.state, config).has_value());
  BOOST_TEST(!ProposeConfig(member.state, two));
}

BOOST_AUTO_TEST_CASE(follower_with_a_live_leader_grants_no_pre_vote) {
  SingleMember member{StoredQuorum()};
  member.Receive(1, AppendRequest{});
  member.Flush();
  OnMessage(member.state,
            QuorumMessage{Model::Name(2), member.state.self, QuorumTerm(9),
                          VoteRequest{true, LogIndex(9), QuorumTerm(8)}},
            member.now);
  QuorumOutput output = TakeOutput(member.state, member.now);
  BOOST_REQUIRE(output.messages.size() == 1u);
  BOOST_TEST(!std::get<VoteResponse>(output.messages[0].body).granted);
  BOOST_TEST(member.state.vote.term.value() == 0u);
}

BOOST_AUTO_TEST_CASE(member_with_a_full_disk_grants_no_vote) {
  SingleMember member{StoredQuorum()};
  OnDiskRefused(member.state, QuorumOutput(), member.now);
  member.now = member.now + kTiming.election_max;
  OnTick(member.state, member.now);
  BOOST_TEST((member.state.role == QuorumRole::kFollower));
  for (bool pre : {true, false}) {
    QuorumTerm term = member.state.vote.term.Next();
    OnMessage(member.state,
              QuorumMessage{Model::Name(1), member.state.self, term,
                            VoteRequest{pre, LogIndex(), QuorumTerm()}},
              member.now);
    QuorumOutput output = TakeOutput(member.state, member.now);
    BOOST_REQUIRE(output.messages.size() == 1u);
    BOOST_TEST(!std::get<VoteResponse>(output.messages[0].body).granted);
  }
}

BOOST_AUTO_TEST_CASE(leader_with_a_full_disk_steps_down) {
  SingleMember member{StoredQuorum()};
  member.Elect();
  BOOST_REQUIRE(Propose(member.state, "c"));
  QuorumOutput output = TakeOutput(member.state, member.now);
  OnDiskRefused(member.state, output, member.now);
  BOOST_TEST((member.state.role == QuorumRole::kFollower));
  BOOST_TEST(!Propose(member.state, "d"));
}

BOOST_AUTO_TEST_CASE(follower_with_a_full_disk_acknowledges_what_it_synced) {
  SingleMember member{StoredQuorum()};
  QuorumTerm term = member.state.vote.term;
  LogEntry first{LogIndex(1), term, EntryKind::kCommand, "a", {}};
  LogEntry second{LogIndex(2), term, EntryKind::kCommand, "b", {}};
  member.Receive(1,
                 AppendRequest{LogIndex(), {}, LogIndex(), Round(1), {first}});
  member.Flush();
  OnDiskRefused(member.state, QuorumOutput(), member.now);
  member.Receive(
      1, AppendRequest{LogIndex(1), term, LogIndex(2), Round(2), {second}});
  QuorumOutput output = TakeOutput(member.state, member.now);
  BOOST_REQUIRE(output.messages.size() == 1u);
  AppendResponse answer = std::get<AppendResponse>(output.messages[0].body);
  BOOST_TEST(answer.match.value() == 1u);
  BOOST_TEST(output.apply.size() == 2u);
  OnDiskRecovered(member.state, member.now);
  member.Receive(1,
                 AppendRequest{LogIndex(2), term, LogIndex(2), Round(3), {}});
  output = TakeOutput(member.state, member.now);
  answer = std::get<AppendResponse>(output.messages[0].body);
  BOOST_TEST(answer.match.value() == 2u);
}

BOOST_AUTO_TEST_CASE(random_schedules_with_full_disks_keep_the_log_safe) {
  size_t refused = 0;
  size_t committed = 0;
  for (uint64_t seed = 1; seed <= 500; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Model model(seed, seed % 3 == 0 ? 5 : 3);
      model.FillDisks();
      model.Run(1500, true);
      BOOST_REQUIRE_MESSAGE(model.Heal(), "no agreement after the faults");
      committed += model.committed();
      refused += model.refused();
    }
  }
  BOOST_TEST_MESSAGE("committed=" << committed << " refused=" << refused);
  BOOST_TEST(committed > 3000u);
  BOOST_TEST(refused > 1000u);
}

BOOST_AUTO_TEST_CASE(random_schedules_keep_the_log_safe) {
  size_t committed = 0;
  size_t confirmed = 0;
  size_t torn = 0;
  size_t changes = 0;
  for (uint64_t seed = 1; seed <= 1500; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Model model(seed, seed % 3 == 0 ? 5 : 3);
      model.Run(1500, true);
      BOOST_REQUIRE_MESSAGE(model.Heal(), "no agreement after the faults");
      committed += model.committed();
      confirmed += model.confirmed();
      torn += model.torn();
      changes += model.config_changes();
    }
  }
  BOOST_TEST_MESSAGE("committed=" << committed << " confirmed=" << confirmed
                                  << " torn=" << torn
                                  << " config_changes=" << changes);
  BOOST_TEST(committed > 10000u);
  BOOST_TEST(confirmed > 10000u);
  BOOST_TEST(torn > 300u);
  BOOST_TEST(changes > 300u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
