#include "cardamomchute/fleet/fleet_controller.h"

#include <boost/test/unit_test.hpp>

#include "cardamomchute/relay/relay_mesh.h"
#include "replacement_fixture.h"

namespace cardamomchute {
namespace {

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

/// Layouts that wait in front of a slow relay delay the one in force.
BOOST_AUTO_TEST_CASE(superseded_layouts_do_not_queue_for_a_slow_relay) {
  FleetControllerCluster cluster(3);
  BOOST_REQUIRE((cluster.Put(LayoutText(1, "db")) == CallOutcome::kDone));
  SlowRelay relay(&cluster, 0);
  BOOST_REQUIRE(cluster.RunUntil([&] { return relay.sent.size() == 1; }));
  constexpr uint64_t kNewest = 4;
  for (uint64_t version = 2; version <= kNewest; ++version) {
    BOOST_REQUIRE(
        (cluster.Put(LayoutText(version, "db")) == CallOutcome::kDone));
    // Longer than the interval between two pushes.
    cluster.RunUntil([] { return false; }, Millis(700));
  }
  BOOST_TEST(relay.sent.size() == 1u);
  relay.Report(1);
  BOOST_TEST(cluster.RunUntil([&] { return relay.sent.back() == kNewest; }));
  BOOST_TEST(relay.sent.size() == 2u);
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

/// Guards against the loss of acknowledged writes: a live replica counted as
/// gone after another writer had announced its address for a group that no
/// layout names, and a replica that lacked commits was promoted.
BOOST_AUTO_TEST_CASE(an_announcement_of_an_unnamed_group_replaces_nobody) {
  ReplacementFixture s;
  EndpointRecord replica = s.group.Record(1, "a", 1);
  EndpointRecord foreign = replica;
  foreign.group = GroupId("nobody");
  foreign.started_ms = replica.started_ms + 1;
  const Directory& directory = s.listener->directory;
  for (const EndpointId& id : {EndpointId("foreign"), replica.id}) {
    foreign.id = id;
    BOOST_TEST(s.cluster.At(0)->Announce(foreign));
    s.cluster.RunUntil([] { return false; }, Millis(300));
    BOOST_TEST(!directory.endpoints.contains(EndpointId("foreign")));
    BOOST_TEST(!directory.endpoints.at(replica.id).gone);
    BOOST_TEST((directory.endpoints.at(replica.id).group == replica.group));
  }
  BOOST_TEST(s.AnnounceAll());
  Listener later(&s.cluster, "relay-b", 0);
  BOOST_TEST(s.cluster.RunUntil(
      [&] { return MembersOf(later.directory, GroupId("g1")).size() == 3; }));
}

/// Endpoints of a new group may announce themselves ahead of its layout.
BOOST_AUTO_TEST_CASE(an_announcement_ahead_of_its_layout_is_taken_with_it) {
  FleetControllerCluster cluster(3);
  Listener relay(&cluster, "relay-a", 0);
  boost::asio::io_context other;
  LineGroup group(&other, "g1", 1);
  BOOST_REQUIRE(cluster.RunUntil(
      [&] { return cluster.At(0)->Announce(group.Record(0, "a", 1)); }));
  BOOST_REQUIRE((cluster.Put(LayoutText(1, "db")) == CallOutcome::kDone));
  BOOST_TEST(cluster.RunUntil(
      [&] { return relay.directory.endpoints.contains(EndpointId("g1-0")); }));
}

/// An endpoint that has left does not come back with the layout of its group.
BOOST_AUTO_TEST_CASE(an_endpoint_that_left_ahead_of_its_layout_stays_away) {
  FleetControllerCluster cluster(1);
  Listener relay(&cluster, "relay-a", 0);
  boost::asio::io_context other;
  LineGroup group(&other, "g1", 1);
  BOOST_REQUIRE(cluster.RunUntil(
      [&] { return cluster.At(0)->Announce(group.Record(0, "a", 1)); }));
  BOOST_TEST(cluster.At(0)->Leave({EndpointId("g1-0"), kFirstStartMs}));
  BOOST_REQUIRE((cluster.Put(LayoutText(1, "db")) == CallOutcome::kDone));
  BOOST_REQUIRE(cluster.RunUntil([&] { return relay.version == 1; }));
  cluster.RunUntil([] { return false; }, Millis(300));
  BOOST_TEST(relay.directory.endpoints.empty());
}

/// The directory that is packed for one relay serves those that follow it.
BOOST_AUTO_TEST_CASE(relays_that_come_one_after_the_other_miss_no_change) {
  FleetControllerCluster cluster(3);
  BOOST_REQUIRE((cluster.Put(LayoutText(1, "db")) == CallOutcome::kDone));
  constexpr size_t kEndpoints = 12;
  std::vector<std::unique_ptr<Listener>> relays;
  for (size_t i = 0; i < kEndpoints; ++i) {
    EndpointRecord record;
    record.id = EndpointId("e" + std::to_string(i));
    record.group = GroupId("g1");
    record.address = Address{"10.0.0.1", static_cast<uint16_t>(1 + i)};
    record.started_ms = 1;
    record.sequence = 1;
    BOOST_REQUIRE(
        cluster.RunUntil([&] { return cluster.At(0)->Announce(record); }));
    relays.push_back(
        std::make_unique<Listener>(&cluster, "relay-" + std::to_string(i), 0));
    BOOST_REQUIRE(
        cluster.RunUntil([&] { return relays.back()->version == 1; }));
  }
  for (const std::unique_ptr<Listener>& relay : relays) {
    BOOST_TEST(cluster.RunUntil([&] {
      return relay->directory.endpoints.size() == kEndpoints &&
             relay->directory.relays.size() == kEndpoints;
    }));
    BOOST_TEST(relay->layouts == 1u);
  }
}

/// Guards against a relay that counts as gone for a minute: it restarts after
/// its wall clock has gone back, and its reports are taken for late ones.
BOOST_AUTO_TEST_CASE(a_relay_whose_clock_has_gone_back_is_known_again) {
  FleetControllerCluster cluster(1);
  BOOST_REQUIRE((cluster.Put(LayoutText(1, "db")) == CallOutcome::kDone));
  Listener other(&cluster, "relay-b", 0);
  uint64_t ahead = WallClockMs() + 10'000;
  {
    SlowRelay earlier(&cluster, 0, "relay-a", ahead);
    BOOST_REQUIRE(cluster.RunUntil(
        [&] { return other.directory.relays.contains(VmId("relay-a")); }));
  }
  Address peers{"127.0.0.1", 2};
  Listener restarted(&cluster, "relay-a", 0, peers);
  BOOST_TEST(cluster.RunUntil([&] {
    return other.directory.relays.at(VmId("relay-a")).address == peers;
  }));
  // Once is enough: nobody else is there to be outrun.
  BOOST_TEST(other.directory.relays.at(VmId("relay-a")).started_ms ==
             ahead + 1);
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
