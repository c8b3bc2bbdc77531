#include "cardamomchute/policy/routing/directory.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>

#include "cardamomchute/policy/routing/holders.h"

namespace cardamomchute {
namespace {

EndpointRecord Endpoint(const std::string& id, uint16_t port, uint64_t born,
                        uint64_t sequence) {
  EndpointRecord record;
  record.id = EndpointId(id);
  record.group = GroupId("g");
  record.address = Address{"10.0.0.1", port};
  record.zone = Zone("a");
  record.slots = 2;
  record.started_ms = born;
  record.sequence = sequence;
  return record;
}

RelayRecord RelayIn(const std::string& vm, const std::string& zone) {
  RelayRecord record;
  record.vm = VmId(vm);
  record.address = Address{"10.0.1." + vm.substr(1), 7440};
  record.zone = Zone(zone);
  record.started_ms = 1;
  record.sequence = 1;
  return record;
}

DirectoryDelta Of(const EndpointRecord& record) {
  DirectoryDelta delta;
  delta.endpoints.push_back(record);
  return delta;
}

BOOST_AUTO_TEST_SUITE(directory)

BOOST_AUTO_TEST_CASE(out_of_order_announcements_are_ignored) {
  Directory directory;
  EndpointRecord leaving = Endpoint("e", 1, 10, 6);
  leaving.leaving = true;
  Merge(directory, Of(leaving), Time(0));
  DirectoryDelta changed =
      Merge(directory, Of(Endpoint("e", 1, 10, 5)), Time(1));
  BOOST_TEST(changed.Empty());
  BOOST_TEST(directory.endpoints.at(EndpointId("e")).leaving);
}

BOOST_AUTO_TEST_CASE(a_restart_resets_the_sequence) {
  Directory directory;
  EndpointRecord leaving = Endpoint("e", 1, 10, 60);
  leaving.leaving = true;
  Merge(directory, Of(leaving), Time(0));
  Merge(directory, Of(Endpoint("e", 1, 20, 1)), Time(1));
  BOOST_TEST(!directory.endpoints.at(EndpointId("e")).leaving);
  Merge(directory, Of(leaving), Time(2));
  BOOST_TEST(!directory.endpoints.at(EndpointId("e")).leaving);
}

BOOST_AUTO_TEST_CASE(an_endpoint_drains_from_its_first_leaving_announcement) {
  const EndpointId e("e");
  Directory directory;
  EndpointRecord record = Endpoint("e", 1, 10, 1);
  auto announce = [&](bool leaving, Time now) {
    ++record.sequence;
    record.leaving = leaving;
    Merge(directory, Of(record), now);
  };
  auto drained = [&](Time now) {
    return Drained(LeavingSince(directory, e), now);
  };
  announce(false, Time(0));
  BOOST_TEST(!drained(Time(0) + kLeavingUse));
  announce(true, Time(100));
  announce(true, Time(4000));
  BOOST_TEST(!drained(Time(99) + kLeavingUse));
  BOOST_TEST(drained(Time(100) + kLeavingUse));
  // Another process under its id begins anew.
  record.started_ms = 20;
  announce(true, Time(7000));
  BOOST_TEST(!drained(Time(6999) + kLeavingUse));
  BOOST_TEST(drained(Time(7000) + kLeavingUse));
  announce(false, Time(20000));
  BOOST_TEST(!drained(Time(20000) + kLeavingUse));
}

BOOST_AUTO_TEST_CASE(a_drained_primary_leaves_nothing_but_reads_of_replicas) {
  const GroupId g("g");
  Directory directory;
  EndpointRecord primary = Endpoint("e", 1, 10, 1);
  primary.leaving = true;
  EndpointRecord replica = Endpoint("r", 2, 10, 1);
  Time drained = Time(100) + kLeavingUse;
  BOOST_TEST(!OnlyDrainedLeft(directory, g, true, drained));
  Merge(directory, Of(primary), Time(100));
  Merge(directory, Of(replica), Time(100));
  DirectoryDelta lead;
  lead.primaries[g] = PrimaryRecord{primary.id, 1, 1};
  Merge(directory, lead, Time(100));
  BOOST_TEST(!OnlyDrainedLeft(directory, g, true, drained - Millis(1)));
  BOOST_TEST(OnlyDrainedLeft(directory, g, true, drained));
  BOOST_TEST(!OnlyDrainedLeft(directory, g, false, drained));
  replica.sequence = 2;
  replica.leaving = true;
  Merge(directory, Of(replica), Time(200));
  BOOST_TEST(OnlyDrainedLeft(directory, g, false, drained));
  lead.primaries[g] = PrimaryRecord{replica.id, 1, 2};
  Merge(directory, lead, Time(300));
  BOOST_TEST(!OnlyDrainedLeft(directory, g, true, drained));
}

BOOST_AUTO_TEST_CASE(an_unchanged_announcement_yields_no_delta) {
  Directory directory;
  BOOST_TEST(!Merge(directory, Of(Endpoint("e", 1, 10, 1)), Time(0)).Empty());
  BOOST_TEST(Merge(directory, Of(Endpoint("e", 1, 10, 2)), Time(1)).Empty());
}

BOOST_AUTO_TEST_CASE(an_address_belongs_to_the_latest_started_endpoint) {
  Directory directory;
  Time silent = Time(0) + kReplacedSilence;
  Merge(directory, Of(Endpoint("old", 1, 10, 1)), Time(0));
  Merge(directory, Of(Endpoint("new", 1, 20, 1)), Time(1));
  BOOST_TEST(Expire(directory, silent).Empty());
  DirectoryDelta changed = Expire(directory, silent + Millis(1));
  BOOST_REQUIRE(changed.endpoints.size() == 1u);
  BOOST_TEST(changed.endpoints[0].gone);
  BOOST_TEST(directory.endpoints.at(EndpointId("old")).gone);
  // Late announcements of the old endpoint do not restore it.
  for (uint64_t sequence = 2; sequence < 6; ++sequence) {
    Merge(directory, Of(Endpoint("old", 1, 10, sequence)),
          silent + Millis(static_cast<int64_t>(100 * sequence)));
  }
  BOOST_TEST(directory.endpoints.at(EndpointId("old")).gone);
  BOOST_TEST(!directory.endpoints.at(EndpointId("new")).gone);
}

/// Announces `record` again and again, as a live endpoint does.
void GoOn(Directory& directory, EndpointRecord* record, Time from, Time until) {
  constexpr Duration kInterval = Millis(1200);
  for (Time now = from; now <= until; now = now + kInterval) {
    ++record->sequence;
    Merge(directory, Of(WithKnownRevivals(directory, *record)), now);
    Expire(directory, now);
  }
}

/// Guards against a live endpoint that counts as gone for good: another writer
/// announced a later start at its address, once.
BOOST_AUTO_TEST_CASE(a_later_start_hides_no_endpoint_that_announces_itself) {
  Directory directory;
  EndpointRecord live = Endpoint("live", 1, 10, 1);
  GoOn(directory, &live, Time(0), Time(5000));
  Merge(directory, Of(Endpoint("other", 1, 20, 1)), Time(5001));
  BOOST_TEST(!directory.endpoints.at(live.id).gone);
  GoOn(directory, &live, Time(6000), Time(20'000));
  BOOST_TEST(!directory.endpoints.at(live.id).gone);
  BOOST_TEST(directory.endpoints.at(live.id).revivals == 0u);
  // Nor while neither is heard of.
  Expire(directory, Time(40'000));
  BOOST_TEST(!directory.endpoints.at(live.id).gone);
}

/// Guards against a relay that takes an endpoint for alive by itself, and then
/// ignores what control says of it: records come from several members, and
/// those of one may be behind.
BOOST_AUTO_TEST_CASE(records_of_members_alone_bring_nobody_back) {
  Directory directory;
  EndpointRecord record = Endpoint("e", 1, 10, 5);
  record.gone = true;
  Merge(directory, Of(record), Time(0));
  for (int i = 1; i < 10; ++i) {
    record = Endpoint("e", 1, 10, static_cast<uint64_t>(5 + i));
    Merge(directory, Of(record), Time(i * 1000));
  }
  BOOST_TEST(directory.endpoints.at(record.id).gone);
  BOOST_TEST(directory.endpoints.at(record.id).revivals == 0u);
}

/// A record as releases without `revivals` pack it.
struct EarlierRecord {
  EndpointId id;
  GroupId group;
  Address address;
  Zone zone;
  uint32_t slots = 2;
  bool leaving = false;
  bool gone = true;
  bool claims_primary = false;
  uint64_t started_ms = 10;
  uint64_t sequence = 5;
  MSGPACK_DEFINE(id, group, address, zone, slots, leaving, gone, claims_primary,
                 started_ms, sequence)
};

/// Members and disks of both releases are read while a fleet is upgraded.
BOOST_AUTO_TEST_CASE(records_without_revivals_are_read_and_written) {
  EarlierRecord earlier;
  earlier.id = EndpointId("e");
  Result<EndpointRecord> read = Unpack<EndpointRecord>(Pack(earlier));
  BOOST_REQUIRE(read);
  BOOST_TEST(read.value().gone);
  BOOST_TEST(read.value().sequence == 5u);
  BOOST_TEST(read.value().revivals == 0u);
  EndpointRecord record = Endpoint("e", 1, 20, 6);
  record.revivals = 3;
  Result<EarlierRecord> back = Unpack<EarlierRecord>(Pack(record));
  BOOST_REQUIRE(back);
  BOOST_TEST(back.value().started_ms == 20u);
  BOOST_TEST(back.value().sequence == 6u);
}

BOOST_AUTO_TEST_CASE(a_removed_endpoint_stays_removed) {
  Directory directory;
  Merge(directory, Of(Endpoint("e", 1, 10, 3)), Time(0));
  EndpointRecord gone = Endpoint("e", 1, 10, 3);
  gone.gone = true;
  BOOST_TEST(!Merge(directory, Of(gone), Time(1)).Empty());
  Merge(directory, Of(Endpoint("e", 1, 10, 4)), Time(2));
  BOOST_TEST(directory.endpoints.at(EndpointId("e")).gone);
  BOOST_TEST(MembersOf(directory, GroupId("g")).empty());
}

/// No silent endpoint stays whose address a later start has that is not silent.
void CheckReplaced(const Directory& directory, Time now) {
  std::map<Address, uint64_t> newest;
  auto silent = [&](const EndpointId& id) {
    return now - directory.endpoint_heard.at(id) > kReplacedSilence;
  };
  for (const auto& [id, known] : directory.endpoints) {
    if (known.gone || silent(id)) continue;
    uint64_t& started = newest[known.address];
    started = std::max(started, known.started_ms);
  }
  for (const auto& [id, known] : directory.endpoints) {
    bool replaced = silent(id) && known.started_ms < newest[known.address];
    BOOST_REQUIRE((!replaced || known.gone));
  }
}

/// The indexes must find what a look at all records finds.
BOOST_AUTO_TEST_CASE(indexes_follow_moves_restarts_and_expiry) {
  constexpr int kSteps = 3000;
  std::mt19937 random(7);
  auto pick = [&random](int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random);
  };
  Directory directory;
  Time now(0);
  for (int step = 0; step < kSteps; ++step) {
    now = now + Seconds(pick(3));
    EndpointRecord record = Endpoint(
        "e" + std::to_string(pick(12)), static_cast<uint16_t>(1 + pick(6)),
        static_cast<uint64_t>(step / 100), static_cast<uint64_t>(step));
    record.group = GroupId("g" + std::to_string(pick(4)));
    record.gone = pick(5) == 0;
    Merge(directory, Of(WithKnownRevivals(directory, record)), now);
    if (pick(20) == 0) {
      Expire(directory, now);
      CheckReplaced(directory, now);
    }
    std::map<GroupId, std::set<EndpointId>> members;
    std::map<Address, std::set<EndpointId>> at;
    for (const auto& [id, known] : directory.endpoints) {
      at[known.address].insert(id);
      if (known.gone) continue;
      members[known.group].insert(id);
    }
    for (int g = 0; g < 4; ++g) {
      GroupId group("g" + std::to_string(g));
      std::set<EndpointId> found;
      for (const EndpointRecord* member : MembersOf(directory, group))
        found.insert(member->id);
      BOOST_REQUIRE((found == members[group]));
    }
    BOOST_REQUIRE((directory.endpoints_at == at));
  }
}

BOOST_AUTO_TEST_CASE(merge_is_independent_of_the_order) {
  std::vector<EndpointRecord> records = {
      Endpoint("a", 1, 10, 1), Endpoint("a", 1, 10, 2), Endpoint("b", 1, 20, 1),
      Endpoint("b", 1, 20, 2)};
  records[1].leaving = true;
  std::sort(records.begin(), records.end(),
            [](const EndpointRecord& x, const EndpointRecord& y) {
              return std::tie(x.id, x.sequence) < std::tie(y.id, y.sequence);
            });
  std::vector<size_t> order = {0, 1, 2, 3};
  do {
    Directory directory;
    for (size_t i : order) Merge(directory, Of(records[i]), Time(0));
    Time silent = Time(1) + kReplacedSilence;
    Merge(directory, Of(Endpoint("b", 1, 20, 3)), silent);
    Expire(directory, silent);
    BOOST_TEST(directory.endpoints.at(EndpointId("a")).gone);
    BOOST_TEST(directory.endpoints.at(EndpointId("a")).leaving);
    BOOST_TEST(directory.endpoints.at(EndpointId("b")).sequence == 3u);
    BOOST_TEST(!directory.endpoints.at(EndpointId("b")).gone);
  } while (std::next_permutation(order.begin(), order.end()));
}

BOOST_AUTO_TEST_CASE(primary_records_of_a_later_control_term_win) {
  Directory directory;
  Merge(directory, Of(Endpoint("e", 1, 10, 1)), Time(0));
  DirectoryDelta later;
  later.primaries[GroupId("g")] = PrimaryRecord{EndpointId("e"), 3, 1, Term(2)};
  Merge(directory, later, Time(0));
  DirectoryDelta earlier;
  earlier.primaries[GroupId("g")] =
      PrimaryRecord{EndpointId("x"), 2, 9, Term(1)};
  BOOST_TEST(Merge(directory, earlier, Time(0)).Empty());
  BOOST_TEST(CurrentPrimary(directory, GroupId("g"))->id.value() == "e");
}

BOOST_AUTO_TEST_CASE(silent_relays_are_marked_as_gone) {
  Directory directory;
  DirectoryDelta delta;
  delta.relays.push_back(RelayIn("r1", "a"));
  Merge(directory, delta, Time(0));
  BOOST_TEST(Expire(directory, Time(6000)).Empty());
  DirectoryDelta gone = Expire(directory, Time(8000));
  BOOST_REQUIRE(gone.relays.size() == 1u);
  BOOST_TEST(gone.relays[0].gone);
}

Directory ManyRelays(size_t per_zone) {
  Directory directory;
  DirectoryDelta delta;
  for (size_t i = 0; i < per_zone; ++i) {
    delta.relays.push_back(RelayIn("r" + std::to_string(10 + i), "a"));
    delta.relays.push_back(RelayIn("r" + std::to_string(40 + i), "b"));
  }
  for (uint16_t port = 1; port <= 6; ++port) {
    EndpointRecord record = Endpoint("e" + std::to_string(port), port, 1, 1);
    record.slots = 4;
    delta.endpoints.push_back(record);
  }
  Merge(directory, delta, Time(0));
  return directory;
}

BOOST_AUTO_TEST_CASE(holders_are_in_the_zone_and_share_the_load) {
  Directory directory = ManyRelays(12);
  std::map<EndpointId, Holders> holders = AssignHolders(directory);
  std::map<VmId, size_t> held;
  for (const auto& [id, of] : holders) {
    BOOST_TEST(of.active.size() == 2u);
    BOOST_TEST(of.reserve.size() == kReserveHolders);
    for (const RelayRecord& relay : of.active) {
      BOOST_TEST(relay.zone.value() == "a");
      ++held[relay.vm];
    }
  }
  for (const auto& [vm, count] : held) BOOST_TEST(count == 1u);
}

BOOST_AUTO_TEST_CASE(narrow_links_share_an_endpoint_among_more_holders) {
  Directory directory = ManyRelays(24);
  for (auto& [vm, relay] : directory.relays)
    relay.slots_carried = SlotsForBandwidth(1.4);
  std::map<VmId, size_t> held;
  for (const auto& [id, of] : AssignHolders(directory)) {
    BOOST_TEST(of.active.size() == 4u);
    BOOST_TEST(of.reserve.size() == kReserveHolders);
    for (const RelayRecord& relay : of.active) ++held[relay.vm];
  }
  for (const auto& [vm, count] : held) BOOST_TEST(count == 1u);
  BOOST_TEST(SlotsForBandwidth(0.1) == 1u);
  BOOST_TEST(SlotsForBandwidth(700) == kSlotsPerHolder);
}

BOOST_AUTO_TEST_CASE(draining_holders_are_replaced) {
  Directory directory = ManyRelays(12);
  std::map<EndpointId, Holders> before = AssignHolders(directory);
  RelayRecord leaving = before.at(EndpointId("e1")).active[0];
  leaving.draining = true;
  leaving.sequence = 2;
  DirectoryDelta delta;
  delta.relays.push_back(leaving);
  Merge(directory, delta, Time(1));
  for (const auto& [id, of] : AssignHolders(directory)) {
    for (const RelayRecord& relay : of.active)
      BOOST_TEST(relay.vm != leaving.vm);
  }
}

BOOST_AUTO_TEST_CASE(relays_of_other_zones_hold_if_the_zone_has_none) {
  Directory directory = ManyRelays(0);
  DirectoryDelta delta;
  delta.relays.push_back(RelayIn("r1", "b"));
  Merge(directory, delta, Time(0));
  BOOST_TEST(AssignHolders(directory).at(EndpointId("e1")).active.size() == 1u);
}

/// Guards against an endpoint that nobody can replace: a start that lies years
/// ahead is later than that of every true one.
BOOST_AUTO_TEST_CASE(a_start_that_is_yet_to_come_is_refused) {
  constexpr uint64_t kWallMs = 1'700'000'000'000;
  EndpointRecord record;
  for (uint64_t started : {uint64_t{0}, kWallMs, kWallMs + 60'000}) {
    record.started_ms = started;
    BOOST_TEST(CheckStart(record, kWallMs).has_value());
  }
  record.started_ms = kWallMs * 2;
  BOOST_TEST(!CheckStart(record, kWallMs));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
