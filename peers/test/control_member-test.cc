#include "cardamomchute/peers/control_member.h"

#include <boost/test/unit_test.hpp>

#include "control_cluster.h"

namespace cardamomchute {
namespace {

bool Votes(const ControlMember& member) {
  return IsVoter(member.quorum().config, member.quorum().self);
}

BOOST_AUTO_TEST_SUITE(control_member)

BOOST_AUTO_TEST_CASE(restart_keeps_all_changes_and_a_compacted_log) {
  TestCluster cluster(3, 50);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  for (uint64_t v = 0; v < 200; ++v) {
    BOOST_REQUIRE(cluster.Submit(a, v, "s" + std::to_string(v),
                                 "title" + std::to_string(v) + " g1"));
  }
  for (size_t i = 0; i < 3; ++i) cluster.StopMember(i);
  for (size_t i = 0; i < 3; ++i) {
    cluster.RestartMember(i);
    BOOST_TEST(cluster.member(i).quorum().log.size() < 60u);
  }
  Result<SubmitOutcome> next = cluster.Submit(a, 200, "s200", "last g1");
  BOOST_REQUIRE_MESSAGE(next, Describe(next));
  BOOST_TEST(next.value().version.value() == 201u);
  Result<SubmitOutcome> again = cluster.Submit(a, 0, "s0", "title0 g1");
  BOOST_REQUIRE_MESSAGE(again, Describe(again));
  BOOST_TEST(again.value().version.value() == 1u);
}

BOOST_AUTO_TEST_CASE(member_with_a_lost_disk_votes_only_once_it_has_caught_up) {
  TestCluster cluster(3, 20);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  for (uint64_t v = 0; v < 30; ++v) {
    BOOST_REQUIRE(cluster.Submit(a, v, "s" + std::to_string(v), "title g1"));
  }
  size_t lost = (*cluster.Leader() + 1) % 3;
  MemberId old_self = cluster.member(lost).quorum().self;
  cluster.StopMember(lost);
  std::filesystem::remove_all(cluster.FolderOf(lost));
  cluster.RestartMember(lost);
  BOOST_TEST(!Votes(cluster.member(lost)));
  BOOST_TEST(cluster.member(lost).quorum().self != old_self);
  BOOST_REQUIRE(cluster.RunUntil([&] { return Votes(cluster.member(lost)); }));
  BOOST_TEST(!cluster.member(lost).quorum().config.members.contains(old_self));
  // With a second member lost after the repair, the other two have a quorum.
  size_t second = 0;
  while (second == lost || second == *cluster.Leader()) ++second;
  cluster.StopMember(second);
  Result<SubmitOutcome> next = cluster.Submit(a, 30, "next", "title g1");
  BOOST_REQUIRE_MESSAGE(next, Describe(next));
  BOOST_TEST(
      CurrentDocument(cluster.member(lost).state(), Environment("production"))
          ->version.value() >= 30u);
}

BOOST_AUTO_TEST_CASE(lost_disks_never_bootstrap_a_second_system) {
  TestCluster cluster(3);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  BOOST_REQUIRE(cluster.Submit(a, 0, "s1", "one g1"));
  // With two of three disks lost, the old incarnations have no quorum.
  for (size_t i : {size_t{0}, size_t{1}}) {
    cluster.StopMember(i);
    std::filesystem::remove_all(cluster.FolderOf(i));
    cluster.RestartMember(i);
  }
  cluster.RunFor(Seconds(3));
  BOOST_TEST(!cluster.Leader().has_value());
  BOOST_TEST(VersionAt(a) == 1u);
}

BOOST_AUTO_TEST_CASE(members_are_admitted_and_excluded) {
  TestCluster cluster(1);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  BOOST_REQUIRE(cluster.Submit(a, 0, "s1", "one g1"));
  MemberApi api = a->agent->members();
  for (size_t i = 1; i <= 2; ++i) {
    VmId vm = TestCluster::MemberName(i);
    TestCluster::NodePtr node = cluster.OpenMember(vm, Address{"127.0.0.1", 0});
    Address address = node->member->address();
    BOOST_REQUIRE(cluster.Wait<void>([&](std::function<void(Status)> done) {
      api.admit(vm, address, std::move(done));
    }));
    cluster.members().push_back(node);
    cluster.seeds().push_back(ControlSeed{vm, address});
    node->member->Start(cluster.seeds());
    BOOST_REQUIRE(cluster.RunUntil([&] { return Votes(*node->member); }));
  }
  BOOST_TEST(VoterCount(cluster.member(0).quorum().config) == 3u);
  BOOST_REQUIRE(cluster.Wait<void>([&](std::function<void(Status)> done) {
    api.exclude(TestCluster::MemberName(0), std::move(done));
  }));
  BOOST_REQUIRE(cluster.RunUntil([&] {
    std::optional<size_t> leader = cluster.Leader();
    return leader && *leader != 0 &&
           VoterCount(cluster.member(*leader).quorum().config) == 2;
  }));
}

BOOST_AUTO_TEST_CASE(paused_member_rejoins_without_an_election) {
  TestCluster cluster(3, 20);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  BOOST_REQUIRE(cluster.Submit(a, 0, "s0", "title g1"));
  size_t leader = *cluster.Leader();
  size_t silent = (leader + 1) % 3;
  cluster.node(silent)->paused = true;
  for (uint64_t v = 1; v < 50; ++v) {
    BOOST_REQUIRE(cluster.Submit(a, v, "s" + std::to_string(v), "title g1"));
  }
  cluster.RunFor(Seconds(3));
  QuorumTerm term = cluster.member(leader).quorum().vote.term;
  cluster.node(silent)->paused = false;
  BOOST_REQUIRE(cluster.RunUntil([&] {
    return cluster.member(silent).state().revision ==
           cluster.member(leader).state().revision;
  }));
  BOOST_TEST(cluster.member(leader).quorum().vote.term == term);
  BOOST_TEST(cluster.member(leader).leading());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
