/// Relays are killed while one of their callers begins a transaction. Checks
/// that the transactions of the killed relay's callers and those of its next
/// callers stay apart.
#include <unistd.h>

#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "../common/site.h"

namespace review {
namespace {

constexpr size_t kRelays = 10;
/// Of these so many are killed, one at a time: a tenth.
constexpr size_t kKilled = 4;
/// Each of them is killed this often.
constexpr size_t kKills = 4;
/// Both ways between two zones; the sheet has 0.9 ms one way.
constexpr int64_t kRoundTripMs = 2;
/// From the first statement of a transaction to the kill: 0 to 2 ms.
constexpr useconds_t kKillStepUs = 500;
constexpr size_t kKillSteps = 5;
constexpr int64_t kRestartMs = 500;
constexpr int64_t kSettleMs = 1000;

/// One caller with one connection: a read, then transactions of two writes.
/// The id of a statement is CALLER-TRANSACTION-STEP.
class Caller {
 public:
  Caller(std::string name, Record* record)
      : name_(std::move(name)), client_(name_, record) {}

  bool Start(const Address& relay) {
    return client_.Connect(relay, "db1") &&
           client_.Query(name_ + "-0-read", "READ ticket").done();
  }
  /// Begins transaction `number` and sends its first write.
  bool Open(size_t number) {
    prefix_ = name_ + "-" + std::to_string(number) + "-";
    return client_.Query(prefix_ + "begin", "BEGIN").done() &&
           client_.Send(prefix_ + "first", "WRITE ticket " + prefix_ + "1");
  }
  /// Returns true if the transaction's commit is acknowledged.
  bool Finish() {
    return client_.Receive(prefix_ + "first", 3000).done() &&
           client_.Query(prefix_ + "second", "WRITE invoice " + prefix_ + "2")
               .done() &&
           client_.Query(prefix_ + "commit", "COMMIT").done();
  }
  const std::string& prefix() const { return prefix_; }

 private:
  std::string name_;
  std::string prefix_;
  Client client_;
};

/// Looks at what the members ran and committed.
size_t CountBreaks(const Group& group, const std::set<std::string>& unasked,
                   const std::set<std::string>& acknowledged, Record* record) {
  size_t breaks = 0;
  std::map<std::string, uint64_t> opened;
  std::map<uint64_t, std::string> owner;
  for (const RunStatement& run : group.Runs()) {
    if (!run.id.ends_with("-first")) continue;
    std::string prefix = run.id.substr(0, run.id.size() - 5);
    opened[prefix] = run.transaction;
    owner.try_emplace(run.transaction, prefix);
  }
  for (const RunStatement& run : group.Runs()) {
    std::string prefix = run.id.substr(0, run.id.rfind('-') + 1);
    bool later = run.id.ends_with("-second") || run.id.ends_with("-commit");
    if (!later || run.transaction == opened[prefix]) continue;
    ++breaks;
    record->Add("judge", "PINNED " + run.id + " runs in transaction " +
                             std::to_string(run.transaction) + " of " +
                             owner[run.transaction] + "first, its own is " +
                             std::to_string(opened[prefix]));
  }
  std::set<std::string> committed;
  for (const Commit& commit : group.Log()) {
    for (const Write& write : commit.writes) committed.insert(write.id);
  }
  for (const std::string& prefix : unasked) {
    if (!committed.contains(prefix + "first")) continue;
    ++breaks;
    record->Add("judge", "UNASKED " + prefix +
                             "first is committed, its client never asked for "
                             "a commit");
  }
  for (const std::string& prefix : acknowledged) {
    for (const std::string step : {"first", "second"}) {
      if (committed.contains(prefix + step)) continue;
      ++breaks;
      record->Add("judge",
                  "acknowledged write " + prefix + step + " is in no commit");
    }
  }
  return breaks;
}

int Run(const std::string& record_file) {
  Record record(record_file);
  SiteSettings settings;
  settings.relays = kRelays;
  settings.group.name = "g1";
  settings.group.reply_ms = kRoundTripMs;
  settings.probe = false;
  Site site(settings, &record);
  if (!site.Start()) return kCannotRun;
  std::set<std::string> unasked;
  std::set<std::string> acknowledged;
  size_t kills = 0;
  for (size_t i = 0; i < kKilled; ++i) {
    for (size_t round = 0; round <= kKills; ++round) {
      Caller caller(
          "relay" + std::to_string(i) + "caller" + std::to_string(round),
          &record);
      if (!caller.Start(site.CallersOf(i))) return kCannotRun;
      for (size_t number = 1; number <= round; ++number) {
        if (!caller.Open(number)) continue;
        if (caller.Finish()) acknowledged.insert(caller.prefix());
      }
      if (round == kKills) break;
      bool open = caller.Open(round + 1);
      if (!Trouble()) {
        if (open && caller.Finish()) acknowledged.insert(caller.prefix());
        continue;
      }
      unasked.insert(caller.prefix());
      ::usleep(kKillStepUs * static_cast<useconds_t>(kills % kKillSteps));
      site.relay(i).Kill();
      ++kills;
      record.Add("platform", site.relay(i).name() + " is killed");
      SleepMs(kRestartMs);
      if (!site.relay(i).Start()) return kCannotRun;
      record.Add("platform", site.relay(i).name() + " is started again");
      if (!site.WaitUntilServing(i, kSettleMs)) return kCannotRun;
    }
  }
  SleepMs(200);
  size_t breaks = CountBreaks(site.group(), unasked, acknowledged, &record);
  site.Stop();
  std::printf("kills %zu, transactions acknowledged %zu, breaks %zu\n", kills,
              acknowledged.size(), breaks);
  if (breaks > 0) return kBroken;
  return acknowledged.empty() ? kCannotRun : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : review::kCannotRun;
}
