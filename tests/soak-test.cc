/// A soak: faults by seed, in series that overlap, on real processes, while
/// callers go on with the connections that they have until these end.
///
///     CARDAMOMCHUTE_SOAK_FIRST=100 CARDAMOMCHUTE_SOAK_COUNT=50
///     build/bin/system-soak-test --run_test=soak/promises_hold
#include <sys/socket.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

#include "fleet_load.h"

namespace cardamomchute::testing {
namespace {

using Random = std::mt19937_64;

constexpr size_t kRelays = 4;
/// The grace of the fleet's processes is 4 s.
constexpr int kEndSeconds = 6;

uint64_t FromEnvironment(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

void Pause(Random* random, int least_ms, int most_ms) {
  std::uniform_int_distribution<int> wait(least_ms, most_ms);
  std::this_thread::sleep_for(std::chrono::milliseconds(wait(*random)));
}

/// Begins transactions that write, and leaves at once or a moment later.
/// Nothing of it may ever be committed.
class Leaver {
 public:
  Leaver(Fleet* fleet, size_t relay, uint64_t seed)
      : fleet_(fleet), relay_(relay), random_(seed) {
    thread_ = std::thread([this] {
      while (running_) Step();
    });
  }
  ~Leaver() { Stop(); }

  void Stop() {
    running_ = false;
    if (thread_.joinable()) thread_.join();
  }

  std::vector<std::string> BrokenPromises() const {
    std::vector<std::string> broken;
    for (uint64_t n = 1; n <= next_; ++n) {
      std::string data = DataOf(n);
      size_t copies = fleet_->WithGroup(
          [&data](LineGroup& group) { return group.CountOf(data); });
      if (copies > 0) broken.push_back(data + " is committed, never asked for");
    }
    return broken;
  }

 private:
  std::string DataOf(uint64_t n) const {
    return "left" + std::to_string(relay_) + "x" + std::to_string(n);
  }

  void Step() {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    Address address = fleet_->Callers(relay_);
    boost::system::error_code error;
    socket.connect({boost::asio::ip::make_address(address.host), address.port},
                   error);
    std::string data = DataOf(++next_);
    std::string bytes =
        "CONNECT db test\r\nQUERY a BEGIN\r\nQUERY b WRITE left " + data +
        "\r\n";
    if (!error)
      ::send(socket.native_handle(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    Pause(&random_, 0, 4);
    socket.close(error);
    Pause(&random_, 5, 40);
  }

  Fleet* fleet_;
  size_t relay_;
  Random random_;
  uint64_t next_ = 0;
  std::atomic<bool> running_{true};
  std::thread thread_;
};

/// One series of faults; several run at a time.
class Series {
 public:
  Series(uint64_t seed, std::function<void(Random*)> step) : random_(seed) {
    thread_ = std::thread([this, step = std::move(step)] {
      while (running_) step(&random_);
    });
  }
  ~Series() { Stop(); }

  void Stop() {
    running_ = false;
    if (thread_.joinable()) thread_.join();
  }

 private:
  Random random_;
  std::atomic<bool> running_{true};
  std::thread thread_;
};

/// Kills, stops or freezes one relay of those from `first` on, two in all.
void DisturbRelay(Fleet* fleet, size_t first, std::atomic<size_t>* cut_short,
                  Random* random) {
  size_t relay = first + (*random)() % 2;
  switch ((*random)() % 3) {
    case 0:
      fleet->relay(relay).Kill();
      Pause(random, 50, 800);
      fleet->StartRelay(relay);
      break;
    case 1:
      if (!fleet->relay(relay).Terminate(kEndSeconds)) ++*cut_short;
      fleet->StartRelay(relay);
      break;
    default:
      fleet->relay(relay).Freeze();
      Pause(random, 50, 1500);
      fleet->relay(relay).Thaw();
  }
  Pause(random, 100, 900);
}

/// Kills or freezes a steward; now and then all are killed, and keep their
/// disks.
void DisturbStewards(Fleet* fleet, Random* random) {
  size_t steward = (*random)() % kStewards;
  switch ((*random)() % 4) {
    case 0:
      for (size_t i = 0; i < kStewards; ++i) fleet->steward(i).Kill();
      for (size_t i = 0; i < kStewards; ++i) fleet->StartSteward(i, false);
      break;
    case 1:
      fleet->steward(steward).Freeze();
      Pause(random, 100, 1500);
      fleet->steward(steward).Thaw();
      break;
    default:
      fleet->steward(steward).Kill();
      Pause(random, 50, 800);
      fleet->StartSteward(steward, false);
  }
  Pause(random, 500, 2000);
}

/// Changes the layout, leaves odd announcements, or has members misbehave as
/// sound ones may.
void DisturbInput(Fleet* fleet, std::atomic<uint64_t>* version,
                  Random* random) {
  std::vector<std::string> odd = OddAnnouncements();
  size_t which = (*random)() % odd.size();
  int member = static_cast<int>((*random)() % 3);
  switch ((*random)() % 4) {
    case 0:
      fleet->AnySteward("POST", kPutLayoutPath, SessionLayoutText(++*version));
      break;
    case 1:
      fleet->AnySteward("POST", AnnouncementPath(EndpointId("odd")),
                        odd[which]);
      break;
    case 2:
      fleet->WithGroup([member](LineGroup& group) {
        group.member(static_cast<size_t>(member)).refuse_busy = 3;
        return 0;
      });
      break;
    default:
      fleet->WithGroup([member](LineGroup& group) {
        group.member(static_cast<size_t>(member)).lose_answers = 1;
        return 0;
      });
  }
  Pause(random, 50, 400);
}

/// A fleet that is served and its callers: two at each relay, and one that
/// leaves.
struct Soak {
  explicit Soak(uint64_t seed) : fleet(kRelays) {
    BOOST_REQUIRE(fleet.PutLayout(1));
    fleet.Announce();
    for (size_t i = 0; i < kRelays; ++i) {
      BOOST_REQUIRE(Fleet::Eventually([this, i] { return fleet.Ready(i); }));
      loads.push_back(std::make_unique<Load>(&fleet, i, 2 * i));
      loads.push_back(std::make_unique<Load>(&fleet, i, 2 * i + 1));
      leavers.push_back(std::make_unique<Leaver>(&fleet, i, seed + i));
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

  std::vector<std::string> BrokenPromises() {
    std::vector<std::string> broken;
    for (const std::unique_ptr<Load>& load : loads) load->Stop();
    for (const std::unique_ptr<Leaver>& leaver : leavers) leaver->Stop();
    for (const std::unique_ptr<Load>& load : loads) {
      for (const std::string& line : testing::BrokenPromises(&fleet, *load))
        broken.push_back(line);
    }
    for (const std::unique_ptr<Leaver>& leaver : leavers) {
      for (const std::string& line : leaver->BrokenPromises())
        broken.push_back(line);
    }
    return broken;
  }

  size_t acknowledged() const {
    size_t sum = 0;
    for (const std::unique_ptr<Load>& load : loads) sum += load->acknowledged();
    return sum;
  }

  Fleet fleet;
  std::vector<std::unique_ptr<Load>> loads;
  std::vector<std::unique_ptr<Leaver>> leavers;
};

void RunSeed(uint64_t seed, uint64_t seconds) {
  Soak soak(seed);
  std::atomic<uint64_t> version{1};
  std::atomic<size_t> cut_short{0};
  Fleet* fleet = &soak.fleet;
  {
    uint64_t base = seed * 10;
    Series low(base, [&](Random* r) { DisturbRelay(fleet, 0, &cut_short, r); });
    Series high(base + 1,
                [&](Random* r) { DisturbRelay(fleet, 2, &cut_short, r); });
    Series stewards(base + 2, [&](Random* r) { DisturbStewards(fleet, r); });
    Series input(base + 3,
                 [&](Random* r) { DisturbInput(fleet, &version, r); });
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
  }
  bool recovered = soak.Progress();
  size_t acknowledged = soak.acknowledged();
  std::vector<std::string> broken = soak.BrokenPromises();
  BOOST_TEST_MESSAGE("seed " << seed << ": acknowledged " << acknowledged
                             << ", broken " << broken.size()
                             << ", served again " << recovered
                             << ", stops that took too long " << cut_short);
  BOOST_TEST(recovered, "seed " << seed << ": not served again");
  BOOST_TEST(cut_short == 0u, "seed " << seed << ": stops took too long");
  for (const std::string& line : broken)
    BOOST_ERROR("seed " + std::to_string(seed) + ": " + line);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(soak)

BOOST_AUTO_TEST_CASE(promises_hold) {
  uint64_t first = FromEnvironment("CARDAMOMCHUTE_SOAK_FIRST", 1);
  uint64_t count = FromEnvironment("CARDAMOMCHUTE_SOAK_COUNT", 2);
  uint64_t seconds = FromEnvironment("CARDAMOMCHUTE_SOAK_SECONDS", 8);
  for (uint64_t seed = first; seed < first + count; ++seed)
    RunSeed(seed, seconds);
}

/// Each broken rule is found where it is planted, and none where none is.
BOOST_AUTO_TEST_CASE(planted_violations_are_found) {
  for (Plant plant : {Plant::kNone, Plant::kLost, Plant::kDoubled,
                      Plant::kStale, Plant::kMixed}) {
    Soak soak(1);
    soak.fleet.WithGroup([plant](LineGroup& group) {
      group.SetPlant(plant);
      return 0;
    });
    BOOST_TEST(soak.Progress());
    BOOST_TEST(soak.Progress());
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    size_t broken = soak.BrokenPromises().size();
    BOOST_TEST((broken > 0) == (plant != Plant::kNone),
               "plant " << static_cast<int>(plant) << ": " << broken);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace cardamomchute::testing
