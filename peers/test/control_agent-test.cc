#include "cardamomchute/peers/control_agent.h"

#include <boost/test/unit_test.hpp>

#include "control_cluster.h"

namespace cardamomchute {
namespace {

BOOST_AUTO_TEST_SUITE(control_agent)

BOOST_AUTO_TEST_CASE(submitted_document_is_in_force_with_an_owner) {
  TestCluster cluster(3);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  TestCluster::NodePtr b = cluster.StartAgent("vm-b", "b");
  BOOST_REQUIRE(cluster.RunUntil([&] {
    Time now = Now();
    return a->agent->lease().ValidAt(now) && b->agent->lease().ValidAt(now);
  }));
  Result<SubmitOutcome> outcome = cluster.Submit(a, 0, "s1", "one g1 g2");
  BOOST_REQUIRE_MESSAGE(outcome, Describe(outcome));
  BOOST_TEST(outcome.value().version.value() == 1u);
  BOOST_TEST(!outcome.value().repeated);
  BOOST_TEST(VersionAt(a) == 1u);
  BOOST_TEST(cluster.RunUntil([&] {
    return VersionAt(b) == 1 && !GroupAt(b, "g1").owner.empty() &&
           !GroupAt(b, "g2").owner.empty() && b->agent->Ready();
  }));
  BOOST_TEST(GroupAt(b, "g1").owner != GroupAt(b, "g2").owner);
  BOOST_TEST(b->agent->lease().ValidAt(Now()));
}

BOOST_AUTO_TEST_CASE(one_of_two_racing_submitters_wins) {
  TestCluster cluster(3);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  TestCluster::NodePtr b = cluster.StartAgent("vm-b");
  std::vector<Result<SubmitOutcome>> answers;
  auto submit = [&](const TestCluster::NodePtr& node, const std::string& who) {
    node->agent->operators().submit(
        Submission{Environment("production"), Version(0), SubmissionId(who),
                   who, "by-" + who + " g1"},
        [&answers](const Result<SubmitOutcome>& r) { answers.push_back(r); });
  };
  submit(a, "first");
  submit(b, "second");
  BOOST_REQUIRE(cluster.RunUntil([&] { return answers.size() == 2; }));
  BOOST_TEST(answers[0].has_value() != answers[1].has_value());
  const Result<SubmitOutcome>& loser = answers[0] ? answers[1] : answers[0];
  BOOST_TEST((loser.error().kind == ErrorKind::kConflict));
  const std::string& title = a->agent->views().Get()->document->document.title;
  std::string winner = title.substr(3);
  BOOST_TEST(loser.error().message.find("by " + winner) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(resend_gets_the_first_answer) {
  TestCluster cluster(3);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  BOOST_REQUIRE(cluster.Submit(a, 0, "s1", "one g1"));
  BOOST_REQUIRE(cluster.Submit(a, 1, "s2", "two g1"));
  BOOST_REQUIRE(!cluster.Submit(a, 1, "s3", "three g1"));
  Result<SubmitOutcome> again = cluster.Submit(a, 0, "s1", "one g1");
  BOOST_REQUIRE(again);
  BOOST_TEST(again.value().version.value() == 1u);
  BOOST_TEST(again.value().repeated);
  BOOST_TEST(VersionAt(a) == 2u);
  BOOST_TEST(!cluster.Submit(a, 2, "s3", "three g1"));
  BOOST_TEST(!cluster.Submit(a, 2, "s4", "bad g1"));
}

BOOST_AUTO_TEST_CASE(answer_lost_with_the_leader_comes_from_the_next_one) {
  TestCluster cluster(3);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  BOOST_REQUIRE(cluster.Submit(a, 0, "s1", "one g1"));
  size_t old_leader = *cluster.Leader();
  std::optional<Result<SubmitOutcome>> answer;
  a->agent->operators().submit(
      Submission{Environment("production"), Version(1), SubmissionId("s2"),
                 "operator", "two g1"},
      [&answer](const Result<SubmitOutcome>& r) { answer = r; });
  BOOST_REQUIRE(cluster.RunUntil([&] {
    return LastIndex(cluster.member(old_leader).quorum()) >
           cluster.member(old_leader).quorum().commit;
  }));
  cluster.StopMember(old_leader);
  BOOST_REQUIRE(cluster.RunUntil([&] { return answer.has_value(); }));
  BOOST_REQUIRE_MESSAGE(*answer, Describe(*answer));
  BOOST_TEST(answer->value().version.value() == 2u);
  BOOST_TEST(VersionAt(a) == 2u);
}

BOOST_AUTO_TEST_CASE(groups_of_a_dead_vm_move_and_its_epoch_is_fenced) {
  TestCluster cluster(3);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  BOOST_REQUIRE(cluster.Submit(a, 0, "s1", "one g1"));
  BOOST_REQUIRE(
      cluster.RunUntil([&] { return GroupAt(a, "g1").owner == VmId("vm-a"); }));
  TestCluster::NodePtr b = cluster.StartAgent("vm-b", "b");
  BOOST_REQUIRE(cluster.RunUntil([&] { return b->agent->Ready(); }));
  Epoch old_epoch = GroupAt(a, "g1").epoch;
  a->paused = true;
  BOOST_REQUIRE(cluster.RunUntil([&] {
    bool moved = GroupAt(b, "g1").owner == VmId("vm-b");
    // Never two VMs with a valid lease for one group.
    if (moved) BOOST_TEST(!a->agent->lease().ValidAt(Now()));
    return moved;
  }));
  BOOST_TEST(GroupAt(b, "g1").epoch > old_epoch);
  a->paused = false;
  Status stale = cluster.Change(
      a, GroupChange{GroupId("g1"), old_epoch, GroupChange::Kind::kPrimary,
                     EndpointId("e1"), Term(1)});
  BOOST_REQUIRE(!stale);
  BOOST_TEST((stale.error().kind == ErrorKind::kConflict));
  BOOST_TEST(!b->agent->views().Get()->vms.empty());
}

BOOST_AUTO_TEST_CASE(owner_changes_the_record_of_its_group) {
  TestCluster cluster(1);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  TestCluster::NodePtr b = cluster.StartAgent("vm-b");
  BOOST_REQUIRE(cluster.Submit(a, 0, "s1", "one g1"));
  BOOST_REQUIRE(cluster.RunUntil([&] {
    return !GroupAt(a, "g1").owner.empty() && a->agent->Ready() &&
           b->agent->Ready();
  }));
  GroupChange change{GroupId("g1"), GroupAt(a, "g1").epoch,
                     GroupChange::Kind::kPrimary, EndpointId("e1"), Term(3)};
  BOOST_TEST(cluster.Change(a, change).has_value());
  BOOST_TEST(cluster.Change(a, change).has_value());
  BOOST_TEST(GroupAt(a, "g1").primary == EndpointId("e1"));
  change.term = Term(2);
  BOOST_TEST(!cluster.Change(a, change));
  change.kind = GroupChange::Kind::kFailoverIntent;
  change.term = Term(3);
  change.endpoint = EndpointId("e2");
  BOOST_TEST(cluster.Change(a, change).has_value());
  BOOST_REQUIRE(GroupAt(a, "g1").failover);
  BOOST_TEST(GroupAt(a, "g1").failover->candidate == EndpointId("e2"));
  VmId owner = GroupAt(a, "g1").owner;
  change.kind = GroupChange::Kind::kRelease;
  BOOST_TEST(cluster.Change(a, change).has_value());
  BOOST_TEST(cluster.RunUntil([&] {
    GroupState group = GroupAt(a, "g1");
    return !group.owner.empty() && group.owner != owner;
  }));
}

BOOST_AUTO_TEST_CASE(leader_without_a_quorum_extends_no_lease) {
  TestCluster cluster(3);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  BOOST_REQUIRE(
      cluster.RunUntil([&] { return a->agent->lease().ValidAt(Now()); }));
  size_t leader = *cluster.Leader();
  for (size_t i = 0; i < 3; ++i) cluster.node(i)->paused = i != leader;
  // What the followers' sockets hold back proves nothing either.
  cluster.RunFor(kLease + kDriftMargin);
  BOOST_TEST(!a->agent->lease().ValidAt(Now()));
  Time end = a->agent->lease().end();
  cluster.RunFor(Seconds(2));
  BOOST_TEST((a->agent->lease().end() == end));
  for (size_t i = 0; i < 3; ++i) cluster.node(i)->paused = false;
  BOOST_TEST(
      cluster.RunUntil([&] { return a->agent->lease().ValidAt(Now()); }));
}

BOOST_AUTO_TEST_CASE(lease_is_renewed_by_a_new_leader_after_a_stop) {
  TestCluster cluster(3);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  BOOST_REQUIRE(cluster.Submit(a, 0, "s1", "one g1"));
  BOOST_REQUIRE(
      cluster.RunUntil([&] { return !GroupAt(a, "g1").owner.empty(); }));
  Epoch epoch = GroupAt(a, "g1").epoch;
  size_t stopped = *cluster.Leader();
  cluster.node(stopped)->paused = true;
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Leader().has_value(); }));
  Time resumed = Now();
  BOOST_REQUIRE(cluster.RunUntil(
      [&] { return a->agent->lease().end() >= resumed + kLease / 2; }));
  BOOST_REQUIRE(cluster.Submit(a, 1, "s2", "two g1"));
  cluster.node(stopped)->paused = false;
  BOOST_TEST(cluster.RunUntil([&] {
    return !cluster.member(stopped).leading() &&
           cluster.member(stopped).state().revision ==
               cluster.member(*cluster.Leader()).state().revision;
  }));
  BOOST_TEST(GroupAt(a, "g1").owner == VmId("vm-a"));
  BOOST_TEST((GroupAt(a, "g1").epoch >= epoch));
}

BOOST_AUTO_TEST_CASE(
    restarted_agent_gets_the_current_version_before_it_is_ready) {
  TestCluster cluster(3);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  for (uint64_t v = 0; v < 5; ++v) {
    BOOST_REQUIRE(cluster.Submit(a, v, "s" + std::to_string(v), "one g1"));
  }
  cluster.StopAgent(a);
  TestCluster::NodePtr again = cluster.StartAgent("vm-a");
  BOOST_TEST(!again->agent->Ready());
  BOOST_REQUIRE(cluster.RunUntil([&] { return again->agent->Ready(); }));
  BOOST_TEST(VersionAt(again) == 5u);
}

BOOST_AUTO_TEST_CASE(large_document_reaches_agents_that_connect_later) {
  TestCluster cluster(3);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  std::string text = "large";
  for (size_t i = 0; i < 5000; ++i) text += " group-" + std::to_string(i);
  BOOST_REQUIRE(cluster.Submit(a, 0, "s1", text));
  TestCluster::NodePtr b = cluster.StartAgent("vm-b");
  BOOST_REQUIRE(cluster.RunUntil([&] { return b->agent->Ready(); }));
  BOOST_TEST(b->agent->views().Get()->document->text == text);
}

BOOST_AUTO_TEST_CASE(agent_of_a_member_cut_off_never_goes_back) {
  TestCluster cluster(3);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  BOOST_REQUIRE(cluster.Submit(a, 0, "s1", "one g1"));
  size_t behind = (*cluster.Leader() + 1) % 3;
  cluster.node(behind)->paused = true;
  BOOST_REQUIRE(cluster.Submit(a, 1, "s2", "two g1"));
  uint64_t lowest = 2;
  a->agent->views().Listen([&lowest](const ViewPtr& view) {
    lowest = std::min(lowest, view->document->version.value());
  });
  // Only the member that is behind is left.
  for (size_t i = 0; i < 3; ++i) cluster.node(i)->paused = i != behind;
  cluster.RunFor(Seconds(3));
  BOOST_TEST(VersionAt(a) == 2u);
  BOOST_TEST(lowest == 2u);
}

BOOST_AUTO_TEST_CASE(endpoints_outlive_the_leader_that_knew_them) {
  TestCluster cluster(3);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  TestCluster::NodePtr b = cluster.StartAgent("vm-b");
  EndpointState endpoint{EndpointId("e1"), GroupId("g1"),
                         Address{"127.0.0.1", 5432}, Zone("a"), false};
  a->agent->announcements()(Announcement{endpoint, Seconds(60)});
  auto knows = [&] {
    ViewPtr view = b->agent->views().Get();
    return view && view->endpoints.contains(EndpointId("e1"));
  };
  BOOST_REQUIRE(cluster.RunUntil(knows));
  bool dropped = false;
  b->agent->views().Listen([&dropped](const ViewPtr& view) {
    if (!view->endpoints.contains(EndpointId("e1"))) dropped = true;
  });
  cluster.StopMember(*cluster.Leader());
  BOOST_REQUIRE(cluster.WaitForLeader());
  cluster.RunFor(kSoftSettleTime + Seconds(2));
  BOOST_TEST(!dropped);
  BOOST_TEST(knows());
  endpoint.leaving = true;
  a->agent->announcements()(Announcement{endpoint, Seconds(60)});
  BOOST_TEST(cluster.RunUntil([&] {
    return b->agent->views().Get()->endpoints.at(EndpointId("e1")).leaving;
  }));
}

BOOST_AUTO_TEST_CASE(status_names_members_and_problems) {
  TestCluster cluster(3);
  TestCluster::NodePtr a = cluster.StartAgent("vm-a");
  BOOST_REQUIRE(cluster.Submit(a, 0, "s1", "one g1"));
  cluster.StopMember((*cluster.Leader() + 1) % 3);
  auto status = [&] {
    return cluster.Wait<StatusReport>(
        [&](std::function<void(Result<StatusReport>)> done) {
          a->agent->operators().status(Environment("production"),
                                       std::move(done));
        });
  };
  BOOST_REQUIRE(cluster.RunUntil([&] {
    Result<StatusReport> report = status();
    if (!report) return false;
    size_t reachable = 0;
    for (const ControlMemberStatus& member : report.value().members) {
      reachable += member.reachable ? 1 : 0;
    }
    const std::map<VmId, VmState>& vms = report.value().view.vms;
    auto it = vms.find(VmId("vm-a"));
    return reachable == 2 && report.value().members.size() == 3 &&
           !report.value().problems.empty() && it != vms.end() &&
           it->second.applied == Version(1);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
