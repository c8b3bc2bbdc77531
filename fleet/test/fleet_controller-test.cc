#include "cardamomchute/fleet/fleet_controller.h"

#include <boost/test/unit_test.hpp>

#include "cardamomchute/relay/relay_mesh.h"
#include "fleet_controller_cluster.h"
#include "line_group.h"

namespace cardamomchute {
namespace {

/// A relay's link that keeps what it is told.
struct Listener {
  Listener(FleetControllerCluster* cluster, const std::string& vm,
           size_t member, Address peers = Address{"127.0.0.1", 1}) {
    ControlLinkParams params;
    params.io = &cluster->io;
    params.vm = VmId(vm);
    params.zone = Zone("a");
    params.peers = peers;
    params.on_push = [this](const DirectoryPush& push) {
      ++pushes;
      Merge(directory, push.delta, Now());
      if (!push.layout) return;
      ++layouts;
      if (push.layout_change) ++changes;
      layout_text = push.layout->text;
      if (push.layout->version < version) went_back = true;
      version = push.layout->version;
    };
    params.on_lease = [this](const PrimaryLeaseGrant& grant) {
      for (const auto& [group, endpoint] : grant.primaries)
        lease = ExtendLease(lease, endpoint, asked[grant.number], grant.valid);
    };
    Address address = cluster->AddressOf(member);
    params.seeds = [address] { return std::vector<Address>{address}; };
    link = std::make_shared<ControlLink>(std::move(params));
    link->Start();
  }
  ~Listener() { link->Stop(); }

  /// Requests a lease on the primary of "g1", at most once in a while.
  void RenewLease() {
    Time now = Now();
    if (!asked.empty() && now - asked.rbegin()->second < kLeaseRequestInterval)
      return;
    uint64_t number = asked.size() + 1;
    asked[number] = now;
    link->RequestLeases({number, {GroupId("g1")}});
  }
  bool HasLease(const std::string& endpoint) const {
    return LeaseCovers(lease, EndpointId(endpoint), Now(), Duration());
  }

  std::shared_ptr<ControlLink> link;
  Directory directory;
  uint64_t version = 0;
  bool went_back = false;
  size_t pushes = 0;
  size_t layouts = 0;  ///< that it was sent
  size_t changes = 0;  ///< of these, as differences
  std::string layout_text;
  HeldLease lease;
  std::map<uint64_t, Time> asked;  ///< send times of lease requests
};

BOOST_AUTO_TEST_SUITE(steward)

BOOST_AUTO_TEST_CASE(what_is_accepted_is_read_back_and_never_replaced_by_less) {
  FleetControllerCluster cluster(3);
  BOOST_TEST((cluster.Put(LayoutText(5, "db5")) == CallOutcome::kDone));
  BOOST_TEST(cluster.Get().text == LayoutText(5, "db5"));
  // The same again, an older one, and other content under the same version
  // are answered alike and change nothing.
  BOOST_TEST((cluster.Put(LayoutText(5, "db5")) == CallOutcome::kDone));
  BOOST_TEST((cluster.Put(LayoutText(3, "db3")) == CallOutcome::kDone));
  BOOST_TEST((cluster.Put(LayoutText(5, "other")) == CallOutcome::kDone));
  BOOST_TEST(cluster.Get().text == LayoutText(5, "db5"));
  BOOST_TEST((cluster.Put("{\"version\":9") == CallOutcome::kInvalid));
  BOOST_TEST(cluster.Get().text == LayoutText(5, "db5"));
}

BOOST_AUTO_TEST_CASE(followers_send_callers_to_the_leader) {
  FleetControllerCluster cluster(3);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Leader().has_value(); }));
  size_t follower = (*cluster.Leader() + 1) % 3;
  std::optional<LayoutResult> answer;
  cluster.RunUntil([&] {
    cluster.At(follower)->GetLayout(
        [&](LayoutResult a) { answer = std::move(a); });
    return answer && answer->outcome == CallOutcome::kOtherLeader;
  });
  BOOST_REQUIRE(answer);
  BOOST_TEST(answer->leader == cluster.AddressOf(*cluster.Leader()).host);
}

BOOST_AUTO_TEST_CASE(a_member_alone_is_sure_of_nothing) {
  FleetControllerCluster cluster(3);
  BOOST_REQUIRE((cluster.Put(LayoutText(1, "db")) == CallOutcome::kDone));
  size_t leader = *cluster.Leader();
  for (size_t i = 0; i < 3; ++i) {
    if (i != leader) cluster.Stop(i);
  }
  bool read = false;
  bool accepted = false;
  cluster.At(leader)->GetLayout(
      [&](const LayoutResult& a) { read = a.outcome == CallOutcome::kDone; });
  cluster.At(leader)->PutLayout(LayoutText(2, "db"),
                                [&](const LayoutResult& a) {
                                  accepted = a.outcome == CallOutcome::kDone;
                                });
  BOOST_TEST(cluster.RunUntil([&] { return !cluster.At(leader)->leading(); }));
  BOOST_TEST(!read);
  BOOST_TEST(!accepted);
  EndpointRecord record;
  record.id = EndpointId("e");
  BOOST_TEST(!cluster.At(leader)->Announce(record));
}

BOOST_AUTO_TEST_CASE(what_was_accepted_outlives_the_loss_of_all_processes) {
  FleetControllerCluster cluster(3);
  BOOST_REQUIRE((cluster.Put(LayoutText(7, "db7")) == CallOutcome::kDone));
  for (size_t i = 0; i < 3; ++i) cluster.Stop(i);
  for (size_t i = 0; i < 3; ++i) cluster.Start(i, false);
  BOOST_TEST(cluster.Get().text == LayoutText(7, "db7"));
}

BOOST_AUTO_TEST_CASE(relays_get_no_layout_that_a_restart_only_passes_by) {
  FleetControllerCluster cluster(3);
  constexpr uint64_t kVersions = 12;
  for (uint64_t version = 1; version <= kVersions; ++version)
    BOOST_REQUIRE(
        (cluster.Put(LayoutText(version, "db")) == CallOutcome::kDone));
  for (size_t i = 0; i < 3; ++i) cluster.Stop(i);
  for (size_t i = 0; i < 3; ++i) cluster.Start(i, false);
  Listener a(&cluster, "relay-a", 0);
  Listener b(&cluster, "relay-b", 1);
  Listener c(&cluster, "relay-c", 2);
  for (const Listener* relay : {&a, &b, &c}) {
    BOOST_TEST(
        cluster.RunUntil([relay] { return relay->version == kVersions; }));
    // What was known when it came, and the newest.
    BOOST_TEST(relay->layouts <= 2u);
  }
}

/// A front's link carries little: of many versions in quick succession each
/// relay gets few, and those as differences.
BOOST_AUTO_TEST_CASE(a_storm_of_layouts_costs_relays_few_bytes) {
  FleetControllerCluster cluster(3);
  Listener relay(&cluster, "relay-a", 0);
  auto text = [](uint64_t version) { return LongLayoutText(version, 200); };
  BOOST_REQUIRE((cluster.Put(text(1)) == CallOutcome::kDone));
  BOOST_REQUIRE(cluster.RunUntil([&] { return relay.version == 1; }));
  size_t before = relay.layouts;
  size_t changes_before = relay.changes;
  constexpr uint64_t kVersions = 25;
  for (uint64_t version = 2; version <= kVersions; ++version)
    BOOST_REQUIRE((cluster.Put(text(version)) == CallOutcome::kDone));
  BOOST_TEST(cluster.RunUntil([&] { return relay.version == kVersions; }));
  BOOST_TEST(relay.layouts - before < kVersions / 2);
  BOOST_TEST(relay.changes - changes_before == relay.layouts - before);
  BOOST_TEST(relay.layout_text == text(kVersions));
}

BOOST_AUTO_TEST_CASE(a_lost_disk_among_a_full_restart_loses_nothing) {
  FleetControllerCluster cluster(5);
  BOOST_REQUIRE((cluster.Put(LayoutText(1, "db")) == CallOutcome::kDone));
  // All five vote before one may be lost.
  cluster.RunUntil([] { return false; }, Seconds(3));
  BOOST_REQUIRE((cluster.Put(LayoutText(8, "db8")) == CallOutcome::kDone));
  size_t lost = *cluster.Leader();
  for (size_t i = 0; i < 5; ++i) cluster.Stop(i);
  cluster.Wipe(lost);
  for (size_t i = 0; i < 5; ++i) cluster.Start(i, false);
  BOOST_TEST(cluster.Get().text == LayoutText(8, "db8"));
}

BOOST_AUTO_TEST_CASE(an_empty_folder_founds_nothing_without_leave) {
  FleetControllerCluster cluster(3);
  BOOST_REQUIRE((cluster.Put(LayoutText(4, "db4")) == CallOutcome::kDone));
  for (size_t i = 0; i < 3; ++i) cluster.Stop(i);
  cluster.Wipe(0);
  cluster.Start(0, false);
  cluster.RunUntil([] { return false; }, Seconds(2));
  BOOST_TEST(!cluster.Leader());
  cluster.Start(1, false);
  cluster.Start(2, false);
  BOOST_TEST(cluster.Get().text == LayoutText(4, "db4"));
}

BOOST_AUTO_TEST_CASE(relays_learn_of_layouts_endpoints_and_each_other) {
  FleetControllerCluster cluster(3);
  Listener a(&cluster, "relay-a", 0);
  Listener b(&cluster, "relay-b", 1);
  BOOST_REQUIRE((cluster.Put(LayoutText(2, "db")) == CallOutcome::kDone));
  boost::asio::io_context other;
  LineGroup group(&other, "g1", 1);
  BOOST_REQUIRE(cluster.RunUntil(
      [&] { return cluster.At(2)->Announce(group.Record(0, "a", 1)); }));
  BOOST_TEST(cluster.RunUntil([&] {
    return a.version == 2 && b.version == 2 &&
           a.directory.relays.contains(VmId("relay-b")) &&
           b.directory.endpoints.contains(EndpointId("g1-0")) &&
           CurrentPrimary(a.directory, GroupId("g1")) != nullptr;
  }));
  EndpointRecord leaving = group.Record(0, "a", 2);
  leaving.leaving = true;
  BOOST_TEST(cluster.At(0)->Announce(leaving));
  BOOST_TEST(cluster.RunUntil(
      [&] { return b.directory.endpoints.at(EndpointId("g1-0")).leaving; }));
  BOOST_TEST(!a.went_back);
  BOOST_TEST(!b.went_back);
}

/// After a restart of all machines a relay knows only the seeds, and these may
/// come back last.
BOOST_AUTO_TEST_CASE(relays_are_told_of_control_after_a_restart_of_all) {
  FleetControllerCluster cluster(5);
  Address peers{"127.0.0.90", cluster.AddressOf(0).port};
  size_t hints = 0;
  std::vector<Address> members;
  MeshHandlers handlers;
  handlers.on_control_hint = [&](const ControlHint& hint) {
    ++hints;
    members = hint.members;
  };
  std::shared_ptr<RelayMesh> relay = std::make_shared<RelayMesh>(
      &cluster.io, VmId("relay-a"), std::move(handlers));
  BOOST_REQUIRE(relay->Listen(peers));
  BOOST_REQUIRE((cluster.Put(LayoutText(1, "db")) == CallOutcome::kDone));
  {
    Listener listener(&cluster, "relay-a", 0, peers);
    BOOST_REQUIRE(cluster.RunUntil([&] { return listener.version == 1; }));
    // All five vote, and keep what they know on disk.
    cluster.RunUntil([] { return false; }, Seconds(7));
  }
  BOOST_TEST(hints == 0u);
  for (size_t i = 0; i < 5; ++i) cluster.Stop(i);
  for (size_t i = 1; i < 5; ++i) cluster.Start(i, false);
  BOOST_TEST(cluster.RunUntil([&] { return hints > 0; }));
  BOOST_TEST(members.size() == 5u);
  relay->Close();
}

/// A group of three behind a cluster that looks after its lead.
struct Succession {
  /// The first three of `members` have announced themselves.
  explicit Succession(size_t members = 3)
      : cluster(3), group(&cluster.io, "g1", members) {
    cluster.on_promote = [this](const PromoteRequest& order,
                                std::function<void(PromoteOutcome)> done) {
      if (lose_orders > 0) {
        --lose_orders;
        return done(PromoteOutcome::kUnknown);
      }
      group.Promote(order.endpoint);
      done(PromoteOutcome::kAccepted);
    };
    BOOST_REQUIRE((cluster.Put(LayoutText(1, "db")) == CallOutcome::kDone));
    listener = std::make_unique<Listener>(&cluster, "relay-a", 0);
    BOOST_REQUIRE(cluster.RunUntil([&] { return AnnounceAll(); }));
    BOOST_REQUIRE(cluster.RunUntil([&] { return LeadIs("g1-0"); }));
  }

  bool AnnounceAll() {
    ++sequence;
    bool all = true;
    for (size_t i = 0; i < 3; ++i)
      all = cluster.At(i)->Announce(group.Record(i, "a", sequence)) && all;
    return all;
  }
  bool LeadIs(const std::string& id) {
    const EndpointRecord* lead =
        CurrentPrimary(listener->directory, GroupId("g1"));
    return lead != nullptr && lead->id.value() == id;
  }
  void Complain(EndpointProblem trouble) {
    listener->link->Report(GroupId("g1"), EndpointId("g1-0"), trouble);
  }

  FleetControllerCluster cluster;
  LineGroup group;
  std::unique_ptr<Listener> listener;
  uint64_t sequence = 0;
  int lose_orders = 0;
};

BOOST_AUTO_TEST_CASE(a_dead_primary_is_replaced_by_what_received_most) {
  Succession s;
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
  Succession s;
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.Complain(EndpointProblem::kSilent);
  s.cluster.RunUntil([] { return false; }, Seconds(1));
  BOOST_TEST(s.cluster.orders.empty());
  BOOST_TEST(s.LeadIs("g1-0"));
}

BOOST_AUTO_TEST_CASE(nobody_is_promoted_while_a_replica_is_silent) {
  Succession s;
  s.group.Kill(0);
  s.group.member(2).silent = true;
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.Complain(EndpointProblem::kRefused);
  s.cluster.RunUntil([] { return false; }, Seconds(2));
  BOOST_TEST(s.cluster.orders.empty());
  s.group.member(2).silent = false;
  BOOST_TEST(s.cluster.RunUntil([&] { return !s.cluster.orders.empty(); }));
}

BOOST_AUTO_TEST_CASE(an_unanswered_order_is_sent_again_with_its_token) {
  Succession s;
  s.group.Kill(0);
  s.lose_orders = 1;
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.Complain(EndpointProblem::kRefused);
  BOOST_TEST(s.cluster.RunUntil([&] { return s.cluster.orders.size() >= 2; }));
  BOOST_TEST((s.cluster.orders[0].endpoint == s.cluster.orders[1].endpoint));
  BOOST_TEST(s.cluster.orders[0].fence_token ==
             s.cluster.orders[1].fence_token);
}

BOOST_AUTO_TEST_CASE(a_report_of_lag_before_any_layout_changes_nothing) {
  FleetControllerCluster cluster(1);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Leader().has_value(); }));
  Listener relay(&cluster, "relay-a", 0);
  BOOST_REQUIRE(cluster.RunUntil([&] { return relay.pushes > 0; }));
  relay.link->Report(GroupId("g1"), EndpointId("g1-1"),
                     EndpointProblem::kLagging);
  BOOST_TEST(cluster.RunUntil([&] { return relay.pushes > 0; }));
  BOOST_TEST((cluster.Put(LayoutText(1, "db")) == CallOutcome::kDone));
  BOOST_TEST(cluster.orders.empty());
}

BOOST_AUTO_TEST_CASE(a_lead_whose_replicas_all_lag_hands_over) {
  Succession s;
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
  Succession s;
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
  Succession s;
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
  Succession s;
  EndpointRecord leaving = s.group.Record(0, "a", ++s.sequence);
  leaving.leaving = true;
  BOOST_REQUIRE(s.cluster.At(0)->Announce(leaving));
  BOOST_TEST(
      s.cluster.RunUntil([&] { return s.LeadIs("g1-1") || s.LeadIs("g1-2"); }));
  BOOST_TEST(!s.group.member(0).is_primary);
}

/// Announces that the primary is about to shut down.
void AnnounceLeaving(Succession* s) {
  EndpointRecord leaving = s->group.Record(0, "a", ++s->sequence);
  leaving.leaving = true;
  BOOST_REQUIRE(s->cluster.At(0)->Announce(leaving));
}

/// A replica that no control member knows receives commits, and so has them
/// acknowledged, while all known replicas are paused.
BOOST_AUTO_TEST_CASE(no_commit_is_acknowledged_after_the_positions_are_read) {
  Succession s(4);
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
  Succession s(4);
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
  Succession s(4);
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
  Succession s(4);
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

/// Runs until another primary than the first is in use. Returns whether the
/// relay never had a lease on the first one then.
bool NoLeaseOnFormer(Succession* s) {
  bool overlap = false;
  bool replaced = s->cluster.RunUntil([&] {
    bool other = s->LeadIs("g1-1") || s->LeadIs("g1-2");
    overlap = overlap || (other && s->listener->HasLease("g1-0"));
    s->listener->RenewLease();
    return other &&
           (s->listener->HasLease("g1-1") || s->listener->HasLease("g1-2"));
  });
  return replaced && !overlap;
}

BOOST_AUTO_TEST_CASE(no_relay_may_use_a_replaced_primary_that_goes_on) {
  Succession s;
  s.group.SetReplacedGoesOn();
  auto leased = [&] {
    s.listener->RenewLease();
    return s.listener->HasLease("g1-0");
  };
  BOOST_REQUIRE(s.cluster.RunUntil(leased));
  // The control members cannot reach it, the relay may.
  s.group.member(0).silent = true;
  s.cluster.RunUntil(
      [&] {
        s.listener->RenewLease();
        return false;
      },
      Millis(500));
  s.Complain(EndpointProblem::kSilent);
  BOOST_TEST(NoLeaseOnFormer(&s));
  BOOST_TEST(s.group.member(0).is_primary);
}

BOOST_AUTO_TEST_CASE(
    leases_are_granted_by_all_members_until_they_lose_contact) {
  Succession s;
  size_t follower = (*s.cluster.Leader() + 1) % 3;
  Listener relay(&s.cluster, "relay-b", follower);
  auto leased = [&] {
    relay.RenewLease();
    return relay.HasLease("g1-0");
  };
  BOOST_REQUIRE(s.cluster.RunUntil(leased));
  for (size_t i = 0; i < 3; ++i) {
    if (i != follower) s.cluster.Stop(i);
  }
  Time lost = Now();
  BOOST_TEST(s.cluster.RunUntil([&] { return !leased(); }));
  s.cluster.RunUntil([&] { return leased(); }, Seconds(1));
  BOOST_TEST(!relay.HasLease("g1-0"));
  BOOST_TEST((relay.lease.until < lost + kPrimaryLease + Millis(1)));
}

/// A control leader that has confirmed a primary need not reach a replica
/// again: only that leader could have replaced it.
BOOST_AUTO_TEST_CASE(a_confirmed_primary_is_leased_again_without_its_replicas) {
  Succession s;
  auto leased = [&] {
    s.listener->RenewLease();
    return s.listener->HasLease("g1-0");
  };
  BOOST_REQUIRE(s.cluster.RunUntil(leased));
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.group.member(1).silent = true;
  s.group.member(2).silent = true;
  s.Complain(EndpointProblem::kSilent);
  // No lease is granted while the primary is in doubt.
  BOOST_TEST(s.cluster.RunUntil([&] { return !leased(); }, Seconds(3)));
  BOOST_TEST(s.cluster.RunUntil(leased));
}

/// An earlier control leader demoted the primary and died. The replicas that it
/// knew lack a commit that another one acknowledged.
BOOST_AUTO_TEST_CASE(the_log_of_a_primary_that_is_found_demoted_counts) {
  Succession s(4);
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

/// After a loss of power each file may be kept or lost on its own.
BOOST_AUTO_TEST_CASE(a_member_that_kept_only_the_relays_joins_again) {
  FleetControllerCluster cluster(5);
  BOOST_REQUIRE((cluster.Put(LayoutText(1, "db")) == CallOutcome::kDone));
  {
    Listener listener(&cluster, "relay-a", 0);
    BOOST_REQUIRE(cluster.RunUntil([&] { return listener.version == 1; }));
    cluster.RunUntil([] { return false; }, Seconds(7));
  }
  size_t lost = (*cluster.Leader() + 1) % 5;
  cluster.Stop(lost);
  for (const std::filesystem::directory_entry& file :
       std::filesystem::directory_iterator(cluster.FolderOf(lost))) {
    if (file.path().filename() != "relays") std::filesystem::remove(file);
  }
  BOOST_REQUIRE(std::filesystem::exists(cluster.FolderOf(lost) / "relays"));
  cluster.Start(lost, false);
  BOOST_TEST(cluster.RunUntil(
      [&] { return cluster.At(lost)->layout_version() == 1; }));
}

/// The replicas are paused before a request to promote is sent: a leader that
/// finds them paused cannot know whether the request of an earlier one will
/// still take effect.
BOOST_AUTO_TEST_CASE(a_replacement_that_an_earlier_leader_began_is_completed) {
  Succession s;
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.group.member(1).paused_below = 2;
  s.group.member(2).paused_below = 2;
  s.cluster.Stop(*s.cluster.Leader());
  BOOST_TEST(s.cluster.RunUntil([&] { return !s.cluster.orders.empty(); }));
  BOOST_TEST(s.cluster.RunUntil([&] { return !s.group.member(0).is_primary; }));
}

BOOST_AUTO_TEST_CASE(tokens_rise_with_each_reign) {
  Succession s;
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
    return s.cluster.At(up)->Leave(EndpointId("g1-0")) &&
           s.cluster.At(up)->Announce(leaving);
  });
  BOOST_TEST(s.cluster.RunUntil([&] { return s.cluster.orders.size() >= 2; }));
  BOOST_TEST(s.cluster.orders.back().fence_token >
             s.cluster.orders.front().fence_token);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
