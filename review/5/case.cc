/// Clients leave in the middle of a transaction, each just after it sent the
/// first statement. Counts how many requests of others are served from then on.
#include <atomic>
#include <cstdio>
#include <thread>
#include <vector>

#include "../common/site.h"

namespace review {
namespace {

constexpr size_t kRelays = 3;
/// Each sends one write in each period, whatever became of the last one.
constexpr size_t kCallers = 40;
constexpr int64_t kPeriodMs = 2000;
constexpr int kTries = 3;
/// Both ways between two zones; the sheet has 0.9 ms one way.
constexpr int64_t kRoundTripMs = 2;
/// Clients that leave, and the pause between two of them.
constexpr size_t kLeaving = 100;
constexpr int64_t kLeavePauseMs = 60;
/// `maxConns` on the sheet of the site.
constexpr int kConnections = 36;
constexpr int64_t kWholeMs = 60000;
constexpr int64_t kLastMs = 20000;
/// The gate: refused and failed requests, of all that are owed.
constexpr double kRefusedShare = 0.6;

struct Count {
  std::atomic<size_t> sent{0};
  std::atomic<size_t> served{0};
};

int Run(const std::string& record_file) {
  Record record(record_file);
  SiteSettings settings;
  settings.relays = kRelays;
  settings.group.name = "g1";
  settings.group.reply_ms = kRoundTripMs;
  settings.group.max_connections = kConnections;
  Site site(settings, &record);
  if (!site.Start()) return kCannotRun;

  int64_t begin = NowMs();
  std::atomic<bool> running{true};
  Count whole;
  Count last;
  std::vector<std::thread> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      std::string name = "caller" + std::to_string(i);
      int64_t next = begin + kPeriodMs * static_cast<int64_t>(i) /
                                 static_cast<int64_t>(kCallers);
      for (int n = 1; running; ++n, next += kPeriodMs) {
        while (running && NowMs() < next) SleepMs(5);
        if (!running) return;
        bool late = NowMs() - begin > kWholeMs - kLastMs;
        bool served = false;
        // A refused write is tried again at another relay, with a new id.
        for (int attempt = 0; attempt < kTries && !served; ++attempt) {
          Client client(name, &record);
          size_t relay = (i + static_cast<size_t>(attempt)) % kRelays;
          if (!client.Connect(site.CallersOf(relay), "db1")) continue;
          served = client
                       .Query(name + "x" + std::to_string(n) + "try" +
                                  std::to_string(attempt),
                              "WRITE item" + std::to_string(i) + " v" +
                                  std::to_string(n))
                       .done();
        }
        for (Count* count : {&whole, &last}) {
          if (count == &last && !late) continue;
          ++count->sent;
          if (served) ++count->served;
        }
      }
    });
  }
  SleepMs(2000);
  size_t before = whole.served;
  for (size_t i = 0; i < kLeaving; ++i) {
    std::string name = "leaving" + std::to_string(i);
    Client client(name, &record);
    if (!client.Connect(site.CallersOf(i % kRelays), "db1")) continue;
    client.Query(name + "-begin", "BEGIN");
    client.Send(name + "-write", "WRITE other left");
    // Without the disruption they leave, too, but after the answer.
    if (!Trouble()) client.Receive(name + "-write", 3000);
    client.Close();
    SleepMs(kLeavePauseMs);
  }
  record.Add("judge", "all have left; the primary has " +
                          std::to_string(site.group().ConnectionsOf(0)) +
                          " connections");
  SleepMs(kWholeMs - (NowMs() - begin));
  running = false;
  for (std::thread& caller : callers) caller.join();
  record.Add("judge", "at the end the primary has " +
                          std::to_string(site.group().ConnectionsOf(0)) +
                          " connections");
  site.Stop();
  double refused = 1.0 - static_cast<double>(whole.served.load()) /
                             static_cast<double>(whole.sent.load());
  std::printf("served %zu of %zu, in the last 20 s %zu of %zu; refused %.2f\n",
              whole.served.load(), whole.sent.load(), last.served.load(),
              last.sent.load(), refused);
  if (before < kCallers / 2) return kCannotRun;
  bool broken = refused > kRefusedShare && last.served == 0;
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : review::kCannotRun;
}
