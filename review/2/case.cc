/// A heartbeat of another writer names the address of a replica. Later the
/// other replica receives nothing for a while and the primary crashes. Checks
/// that every acknowledged write is in the log of the member that is promoted.
/// TROUBLE=0 leaves out the heartbeat; the rest stays.
#include <atomic>
#include <cstdio>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "../common/site.h"

namespace review {
namespace {

/// Members of the group; 0 is its primary.
constexpr size_t kDeaf = 1;
constexpr size_t kNamed = 2;
/// How long the deaf replica receives nothing before the primary crashes, and
/// after that.
constexpr int64_t kDeafMs = 3000;
constexpr int64_t kDeafAfterMs = 500;
constexpr int64_t kCalmMs = 4000;
constexpr int64_t kRecoveryMs = 5500;
constexpr size_t kFewestWrites = 100;

int Run(const std::string& record_file) {
  Record record(record_file);
  SiteSettings settings;
  settings.group.name = "g1";
  Site site(settings, &record);
  if (!site.Start()) return kCannotRun;
  if (Trouble()) {
    std::string body = "{\"service\":\"ledger9\",\"addr\":\"" +
                       ToString(site.group().AddressOf(kNamed)) +
                       "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":2,"
                       "\"state\":\"ready\",\"coldLeftMs\":0,"
                       "\"dbRole\":\"replica\",\"born\":" +
                       std::to_string(WallMs()) + ",\"seq\":1}";
    site.Beat("ledger9-0", body);
  }
  std::atomic<bool> running{true};
  std::mutex mutex;
  std::set<std::string> acknowledged;
  std::thread caller([&] {
    for (int n = 1; running; ++n) {
      Client client("caller", &record);
      if (!client.Connect(site.CallersOf(0), "db1")) {
        SleepMs(50);
        continue;
      }
      for (; running; ++n) {
        std::string id = "w" + std::to_string(n);
        if (!client.Query(id, "WRITE item" + std::to_string(n) + " v").done())
          break;
        std::lock_guard<std::mutex> lock(mutex);
        acknowledged.insert(id);
        SleepMs(20);
      }
      SleepMs(50);
    }
  });
  SleepMs(kCalmMs);
  site.group().SetDeaf(kDeaf, true);
  SleepMs(kDeafMs);
  site.group().Crash(0);
  SleepMs(kDeafAfterMs);
  site.group().SetDeaf(kDeaf, false);
  SleepMs(kRecoveryMs);
  running = false;
  caller.join();
  std::set<std::string> held;
  for (const Commit& commit : site.group().Log()) {
    for (const Write& write : commit.writes) held.insert(write.id);
  }
  bool promoted = site.group().LeaderIndex() != 0;
  site.Stop();
  size_t lost = 0;
  for (const std::string& id : acknowledged) {
    if (held.contains(id)) continue;
    ++lost;
    record.Add("judge", "LOST acknowledged write " + id);
  }
  std::printf("acknowledged %zu, promoted %d, lost %zu\n", acknowledged.size(),
              promoted ? 1 : 0, lost);
  if (!promoted || acknowledged.size() < kFewestWrites) return kCannotRun;
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : review::kCannotRun;
}
