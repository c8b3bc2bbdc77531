/// Relays and stewards as real processes before a stand-in group, under faults
/// from outside: processes killed, paused and restarted, a primary that dies.
#include <boost/test/unit_test.hpp>
#include <future>

#include "fleet_load.h"

namespace cardamomchute::testing {
namespace {

constexpr size_t kRelays = 2;

struct Served {
  Served() {
    BOOST_REQUIRE(fleet.PutLayout(1));
    fleet.Announce();
    for (size_t i = 0; i < kRelays; ++i) {
      BOOST_REQUIRE(Fleet::Eventually([this, i] { return fleet.Ready(i); }));
      loads.push_back(std::make_unique<Load>(&fleet, i));
    }
    BOOST_REQUIRE(Progress());
  }

  /// Every load has an acknowledgement more than now.
  bool Progress() {
    std::vector<size_t> before;
    for (const std::unique_ptr<Load>& load : loads)
      before.push_back(load->acknowledged());
    return Fleet::Eventually([this, before] {
      for (size_t i = 0; i < loads.size(); ++i) {
        if (loads[i]->acknowledged() <= before[i]) return false;
      }
      return true;
    });
  }

  void StopLoads() {
    for (const std::unique_ptr<Load>& load : loads) load->Stop();
  }

  void Check() {
    StopLoads();
    for (const std::unique_ptr<Load>& load : loads)
      CheckPromises(&fleet, *load);
  }

  Fleet fleet;
  std::vector<std::unique_ptr<Load>> loads;
};

BOOST_AUTO_TEST_SUITE(fleet)

BOOST_AUTO_TEST_CASE(a_primary_that_dies_is_replaced) {
  Served s;
  s.fleet.WithGroup([](LineGroup& group) {
    group.member(0).silent = true;
    group.Kill(0);
    return true;
  });
  BOOST_TEST(s.Progress());
  s.Check();
}

BOOST_AUTO_TEST_CASE(a_primary_that_falls_silent_is_replaced) {
  Served s;
  s.fleet.WithGroup([](LineGroup& group) {
    group.member(0).silent = true;
    return true;
  });
  BOOST_TEST(s.Progress());
  s.Check();
}

BOOST_AUTO_TEST_CASE(relays_killed_and_frozen_keep_every_promise) {
  Served s;
  s.fleet.relay(0).Kill();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  s.fleet.StartRelay(0);
  BOOST_TEST(s.Progress());
  s.fleet.relay(1).Freeze();
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  s.fleet.relay(1).Thaw();
  BOOST_TEST(s.Progress());
  s.Check();
}

/// Guards against processes that one odd announcement ends, or that no longer
/// follow the directory after it.
BOOST_AUTO_TEST_CASE(odd_announcements_end_no_process_and_hide_no_member) {
  Served s;
  for (const std::string& odd : OddAnnouncements()) {
    for (const std::string id : {"odd", "g1-1", "odd%0d%0aQUERY%20-%20STATUS"})
      s.fleet.AnySteward("POST", AnnouncementPath(EndpointId(id)), odd);
  }
  BOOST_TEST(s.Progress());
  for (size_t i = 0; i < kStewards; ++i)
    BOOST_TEST(s.fleet.steward(i).Running());
  for (size_t i = 0; i < kRelays; ++i) BOOST_TEST(s.fleet.relay(i).Running());
  // The directory is followed: the primary is replaced by who has announced.
  s.fleet.WithGroup([](LineGroup& group) {
    group.member(0).silent = true;
    group.Kill(0);
    return true;
  });
  BOOST_TEST(s.Progress());
  for (size_t i = 0; i < kRelays; ++i)
    BOOST_TEST(Caller(s.fleet.Callers(i)).open());
  s.Check();
  BOOST_TEST(s.fleet.WithGroup(
                 [](LineGroup& group) { return group.CountOf("odd"); }) == 0u);
}

BOOST_AUTO_TEST_CASE(a_relay_that_is_stopped_ends_by_itself) {
  Served s;
  BOOST_TEST(s.fleet.relay(0).Terminate(5));
  s.fleet.StartRelay(0);
  BOOST_TEST(s.Progress());
  s.Check();
}

BOOST_AUTO_TEST_CASE(a_relay_that_stops_serves_whoever_has_just_connected) {
  Served s;
  std::future<bool> ended = std::async(
      std::launch::async, [&s] { return s.fleet.relay(0).Terminate(5); });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  // The balancer still sends new callers, who take a moment to ask.
  bool served = false;
  for (int i = 0; i < 10 && !served; ++i) {
    Caller caller(s.fleet.Callers(0));
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    served = caller.open() && !caller.Query("READ k").empty();
  }
  BOOST_TEST(served);
  BOOST_TEST(ended.get());
  s.fleet.StartRelay(0);
  BOOST_TEST(s.Progress());
  s.Check();
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_is_busy_for_a_moment_costs_no_read) {
  Served s;
  s.StopLoads();
  Caller caller(s.fleet.Callers(0));
  BOOST_REQUIRE(caller.open());
  for (int i = 0; i < 20; ++i) {
    s.fleet.WithGroup([](LineGroup& group) {
      for (size_t m = 0; m < group.size(); ++m) group.member(m).refuse_busy = 1;
      return 0;
    });
    BOOST_TEST(caller.Query("READ k").find("DONE") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(stewards_killed_in_turn_lose_no_layout) {
  Served s;
  for (size_t i = 0; i < kStewards; ++i) {
    s.fleet.steward(i).Kill();
    BOOST_TEST(s.fleet.PutLayout(10 + i));
    s.fleet.StartSteward(i, false);
    BOOST_TEST(Fleet::Eventually([&] {
      std::optional<std::string> read =
          s.fleet.AnySteward("GET", kGetLayoutPath, "");
      return read && HoldsVersion(*read, 10 + i);
    }));
  }
  BOOST_TEST(s.Progress());
  s.Check();
}

BOOST_AUTO_TEST_CASE(all_stewards_killed_at_once_come_back_with_the_layout) {
  Served s;
  BOOST_REQUIRE(s.fleet.PutLayout(42));
  for (size_t i = 0; i < kStewards; ++i) s.fleet.steward(i).Kill();
  BOOST_TEST(s.Progress());  // statements need no steward
  for (size_t i = 0; i < kStewards; ++i) s.fleet.StartSteward(i, false);
  BOOST_TEST(Fleet::Eventually([&] {
    std::optional<std::string> read =
        s.fleet.AnySteward("GET", kGetLayoutPath, "");
    return read && HoldsVersion(*read, 42);
  }));
  s.Check();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute::testing
