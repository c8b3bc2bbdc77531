/// A small deployment (three stewards, two relays, one group of three members)
/// under writes, and the check that no acknowledged write is lost.
#ifndef REVIEW_STANDIN_3_LEDGER_H_
#define REVIEW_STANDIN_3_LEDGER_H_

#include "harness.h"

namespace review {

struct Acknowledged {
  std::string id;
  std::string data;
  double at_s;
};

struct Judge {
  std::mutex mutex;
  std::vector<Acknowledged> acknowledged;
  size_t lost = 0;
  int promotions = 0;

  void OnPromoted(const Group::Member& chosen) {
    std::set<std::string> there;
    for (const Commit& commit : chosen.log)
      for (const auto& [item, data] : commit.writes) there.insert(data);
    Lock lock(mutex);
    ++promotions;
    size_t missing = 0;
    for (const Acknowledged& write : acknowledged) {
      if (there.contains(write.data)) continue;
      if (++missing <= 5)
        Note(
            Text("LOST: write %s of %s, acknowledged at %.3f, isn't in the log "
                 "of %s",
                 write.id.c_str(), write.data.c_str(), write.at_s,
                 chosen.id.c_str()));
    }
    Note(Text("judge: %s is promoted; %zu acknowledged, %zu of them missing",
              chosen.id.c_str(), acknowledged.size(), missing));
    lost += missing;
  }
};

inline void WriteOn(const System& system, int number, Judge* judge,
                    const std::atomic<bool>* ends) {
  Client client;
  int count = 0;
  while (!*ends) {
    if (!client.open() &&
        !client.Connect(system.Callers(number % 2), "orders")) {
      SleepMs(100);
      continue;
    }
    std::string id = NewId(Text("w%d-", number));
    std::string data = Text("d%d-%d", number, ++count);
    Note(Text("sent %s to relay %d: WRITE k%d ", id.c_str(), number % 2,
              number) +
         data);
    Answer answer = client.Query(id, Text("WRITE k%d ", number) + data, 3000);
    bool success = answer.done && answer.signature != "-";
    Note("answered " + id + ": " +
         (success       ? "DONE " + answer.signature
          : answer.came ? "ERR " + answer.code
                        : std::string("nothing")));
    if (success) {
      Lock lock(judge->mutex);
      judge->acknowledged.push_back({id, data, NowS()});
    }
    SleepMs(30);
  }
}

/// Starts everything, and four writers.
class Ledger {
 public:
  Ledger(const std::string& program, const std::string& net)
      : system_({.program = program, .net = net}, folder_.path()),
        group_(GroupParams(), {net + "101", net + "102", net + "103"},
               system_.AllControl()),
        platform_("127.0.0.1", {&group_}) {
    group_.on_promoted = [this](const Group::Member& chosen) {
      judge_.OnPromoted(chosen);
    };
  }
  ~Ledger() { EndWriters(); }

  bool Start() {
    for (int i = 0; i < 3; ++i) system_.StartSteward(i, true, platform_.port());
    for (int i = 0; i < 2; ++i) system_.StartRelay(i);
    std::string config = ConfigText(3,
                                    {{.name = "r1",
                                      .database = "orders",
                                      .type = "primary",
                                      .service = "ledger"}},
                                    {"ledger"});
    if (!PutConfig(system_, config, 15)) return false;
    bool serves = WaitFor(
        [&] {
          Client client;
          return system_.Ready(0) && system_.Ready(1) &&
                 client.Connect(system_.Callers(0), "orders") &&
                 client.Query(NewId("p"), "WRITE k first").done;
        },
        15);
    if (!serves) return false;
    Note("the system serves");
    for (int i = 0; i < 4; ++i)
      writers_.emplace_back(
          [this, i] { WriteOn(system_, i, &judge_, &ends_); });
    return true;
  }
  void EndWriters() {
    ends_ = true;
    for (std::thread& writer : writers_) writer.join();
    writers_.clear();
  }
  System& system() { return system_; }
  Group& group() { return group_; }
  Judge& judge() { return judge_; }

  /// Member 2 receives nothing for 6.5 s; after 3 s of it the primary crashes.
  /// Returns what the script exits with.
  int LagAndCrash() {
    group_.With([&] { return group_.member(2).receives = false; });
    Note("member 2 receives nothing");
    SleepMs(3000);
    group_.With([&] { return group_.member(0).dark = true; });
    Note("the primary is dark");
    SleepMs(3500);
    group_.With([&] { return group_.member(2).receives = true; });
    Note("member 2 receives again");
    auto promoted = [this] {
      Lock lock(judge_.mutex);
      return judge_.promotions > 0;
    };
    WaitFor(promoted, 20);
    SleepMs(1000);
    EndWriters();
    Lock lock(judge_.mutex);
    if (judge_.promotions == 0) {
      Note("nobody was promoted");
      return kCannotRun;
    }
    Note(Text("%zu acknowledged writes, %zu lost", judge_.acknowledged.size(),
              judge_.lost));
    return judge_.lost > 0 ? kBroken : kHeld;
  }

 private:
  Folder folder_;
  System system_;
  Judge judge_;
  Group group_;
  Platform platform_;
  std::atomic<bool> ends_{false};
  std::vector<std::thread> writers_;
};

/// Runs `play` with the program and the record that a script names.
inline int Main(int argc, char** argv,
                const std::function<int(const std::string&)>& play) {
  if (argc != 3) return kCannotRun;
  LimitTime();
  Record::Get().Open(argv[2]);
  NowS();
  int result = play(argv[1]);
  Note(Text("result %d", result));
  return result;
}

}  // namespace review

#endif  // REVIEW_STANDIN_3_LEDGER_H_
