/// One heartbeat of another writer arrives: its service is in no configuration.
/// The platform ends processes whose memory is over the limit and starts them
/// again, as it always does. Counts how often each relay ends.
#include <signal.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <thread>
#include <vector>

#include "../common/site.h"

namespace review {
namespace {

constexpr size_t kRelays = 3;
constexpr size_t kCallers = 6;
/// `ramMb` and `maxFds` of a front machine on the users' sheet.
constexpr uint64_t kRamBytes = 182ull * 1024 * 1024;
constexpr uint64_t kDescriptors = 3010;
constexpr int64_t kWatchMs = 20000;
constexpr int64_t kRestartMs = 500;
/// A relay that ends this often without a disruption there is at fault.
constexpr int kEnds = 3;
constexpr size_t kMachines = 2;

uint64_t ResidentBytes(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  uint64_t whole = 0;
  uint64_t resident = 0;
  file >> whole >> resident;
  return resident * 4096;
}

int Run(const std::string& record_file) {
  Record record(record_file);
  SiteSettings settings;
  settings.relays = kRelays;
  settings.group.name = "g1";
  settings.relay_memory_bytes = 2ull * 1024 * 1024 * 1024;
  settings.relay_descriptors = kDescriptors;
  Site site(settings, &record);
  if (!site.Start()) return kCannotRun;

  std::atomic<bool> running{true};
  std::atomic<size_t> answered{0};
  std::vector<std::thread> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      std::string name = "caller" + std::to_string(i);
      for (int n = 1; running; ++n) {
        Client client(name, &record);
        bool open = client.Connect(site.CallersOf(i % kRelays), "db1");
        if (!open) SleepMs(200);
        for (; open && running; ++n) {
          std::string id = name + "x" + std::to_string(n);
          if (!client.Query(id, "READ k", 2000).done()) break;
          ++answered;
          SleepMs(100);
        }
      }
    });
  }
  SleepMs(3000);
  size_t before = answered;
  if (Trouble()) {
    // The page: "fields missing or of another type, a state or service that
    // isn't named here". Nothing listens at the address.
    std::string body = "{\"service\":\"ledger9\",\"addr\":\"" +
                       site.UnusedAddress() +
                       "\",\"zone\":\"a\",\"version\":\"v1\","
                       "\"slots\":1000000,\"state\":\"ready\","
                       "\"coldLeftMs\":0,\"dbRole\":\"replica\",\"born\":" +
                       std::to_string(WallMs()) + ",\"seq\":1}";
    site.Beat("ledger9-0", body);
  }
  std::vector<int> ends(kRelays, 0);
  std::vector<int64_t> start_at(kRelays, 0);
  size_t before_last = 0;
  int64_t begin = NowMs();
  while (NowMs() - begin < kWatchMs) {
    if (NowMs() - begin < kWatchMs - 10000) before_last = answered;
    for (size_t i = 0; i < kRelays; ++i) {
      Daemon& relay = site.relay(i);
      if (start_at[i] > 0) {
        if (NowMs() < start_at[i]) continue;
        start_at[i] = 0;
        relay.Start();
        record.Add("platform", relay.name() + " started again");
        continue;
      }
      uint64_t resident = ResidentBytes(relay.pid());
      if (resident > kRamBytes) {
        record.Add("platform", relay.name() + " uses " +
                                   std::to_string(resident >> 20) +
                                   " MB, over its limit: killed");
        relay.Kill();
      } else if (!relay.Ended(0)) {
        continue;
      } else {
        record.Add("platform", relay.name() + " ended: " + relay.end());
      }
      ++ends[i];
      start_at[i] = NowMs() + kRestartMs;
    }
    SleepMs(20);
  }
  size_t last = answered - before_last;
  running = false;
  site.Stop();
  for (std::thread& caller : callers) caller.join();
  size_t machines = 0;
  for (size_t i = 0; i < kRelays; ++i) {
    record.Add("judge", "relay-" + std::to_string(i) + " ended by itself " +
                            std::to_string(ends[i]) + " times");
    if (ends[i] >= kEnds) ++machines;
  }
  std::printf(
      "answered %zu in 3 s before, %zu in the last 10 s; ends %d %d %d\n",
      before, last, ends[0], ends[1], ends[2]);
  if (before < 30) return kCannotRun;
  return machines >= kMachines ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : review::kCannotRun;
}
