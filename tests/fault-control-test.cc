/// Faults of the control members, and operators who race and resend.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "load.h"

namespace cardamomchute::testing {
namespace {

constexpr int kLoadSeconds = 6;
constexpr int kConflict = 3;

struct Fixture {
  Cluster cluster{"fault-control"};
  Fixture() { cluster.Start(); }

  RunOutcome Submit(uint64_t replaces, const std::string& id) {
    return cluster.Cli({"submit", "--environment", "production", "--replaces",
                        std::to_string(replaces), "--file",
                        cluster.folder() + "/document.toml", "--id", id});
  }

  uint64_t VersionIn(const RunOutcome& outcome) {
    nlohmann::json json = nlohmann::json::parse(outcome.output, nullptr, false);
    return json.is_object() ? json.value("version", 0) : 0;
  }

  /// Waits until every VM serves under that version.
  void WaitInForce(uint64_t version) {
    for (int i = 0; i < kGiveUpSeconds * 10; ++i) {
      if (InForce(version)) return;
      Sleep(100);
    }
    BOOST_FAIL("not every VM has version " + std::to_string(version));
  }

  bool InForce(uint64_t version) {
    RunOutcome status = cluster.Cli({"status", "--environment", "production"});
    nlohmann::json json = nlohmann::json::parse(status.output, nullptr, false);
    if (!json.is_object()) return false;
    for (const nlohmann::json& vm : json["view"]["vms"]) {
      if (vm["applied"] != version) return false;
    }
    return json["view"]["vms"].size() ==
           cluster.entries.size() + cluster.control.size();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(leader_frozen_and_back, Fixture) {
  VmProcess& leader = cluster.Control(cluster.LeadingControl());
  RunUnderLoad(cluster, kLoadSeconds, 31, [&] {
    leader.process->Freeze();
    RunOutcome outcome = Submit(1, "while-frozen");
    BOOST_TEST(VersionIn(outcome) == 2u, outcome.output);
    leader.process->Thaw();
  });
  WaitInForce(2);
}

BOOST_FIXTURE_TEST_CASE(members_killed_one_after_the_other, Fixture) {
  RunUnderLoad(cluster, kLoadSeconds + 2, 32, [&] {
    for (VmProcess& vm : cluster.control) {
      vm.process->Kill();
      Sleep(300);
      cluster.StartVm(vm);
      RequireWritable(cluster);
    }
  });
  BOOST_TEST(VersionIn(Submit(1, "afterwards")) == 2u);
  WaitInForce(2);
}

BOOST_FIXTURE_TEST_CASE(of_racing_operators_one_wins, Fixture) {
  constexpr int kRacers = 6;
  std::vector<RunOutcome> outcomes(kRacers);
  std::vector<std::thread> racers;
  for (int i = 0; i < kRacers; ++i) {
    racers.emplace_back(
        [&, i] { outcomes[i] = Submit(1, "racer-" + std::to_string(i)); });
  }
  for (std::thread& racer : racers) racer.join();
  int winners = 0;
  for (int i = 0; i < kRacers; ++i) {
    if (outcomes[i].status == 0) {
      ++winners;
      RunOutcome again = Submit(1, "racer-" + std::to_string(i));
      BOOST_TEST(again.status == 0);
      BOOST_TEST(VersionIn(again) == 2u);
    } else {
      BOOST_TEST(outcomes[i].status == kConflict);
    }
  }
  BOOST_TEST(winners == 1);
  WaitInForce(2);
}

BOOST_FIXTURE_TEST_CASE(a_restarted_vm_never_goes_back, Fixture) {
  constexpr uint64_t kChanges = 30;
  for (uint64_t version = 1; version <= kChanges; ++version) {
    RunOutcome outcome = Submit(version, "v" + std::to_string(version));
    BOOST_REQUIRE_MESSAGE(VersionIn(outcome) == version + 1, outcome.output);
    VmProcess& entry = cluster.entries[version % cluster.entries.size()];
    VmProcess& member = cluster.control[version % cluster.control.size()];
    if (version % 10 == 0) {
      entry.process->Kill();
      member.process->Kill();
      cluster.StartVm(entry);
      cluster.StartVm(member);
    }
  }
  WaitInForce(kChanges + 1);
  RequireWritable(cluster);
}

}  // namespace cardamomchute::testing
