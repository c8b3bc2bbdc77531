// A relay gets SIGTERM. Clients that the platform still sends to it run
// transactions without pauses. No request that was passed on may be cut.
#include "../stage-2/stage.h"

using namespace stage;

namespace {

constexpr size_t kRelays = 3;
constexpr int kClients = 2;
constexpr int kTimeoutMs = 3000;
/// At most 500 in the site file.
constexpr int kWorkMs = 320;
/// With COMMIT: "a transaction of up to 12 statements".
constexpr int kStatements = 12;
constexpr int kDeadlineMs = 8000;
constexpr int kContactMs = 5000;
constexpr int kGraceMs = 6000;
constexpr int kLossSlackMs = 200;
/// The platform asks for /ready once a second; two misses end the rotation.
constexpr int kFirstPollMs = 900;
constexpr int kPollMs = 1000;
constexpr int kConnectMs = 1750;

struct Cut {
  std::string id;
  int64_t sent_ms = 0;
  int64_t ended_ms = 0;
  int64_t begun_ms = 0;
};

}  // namespace

int main(int, char** argv) {
  Record record(std::string(argv[1]) + "/record.txt");
  Deployment deployment(kRelays, &record);
  deployment.Announce();
  bool ready = deployment.PutConfig(
                   1, Deployment::Route("tickets", "bounded", kTimeoutMs)) &&
               Serving(deployment, kRelays, "tickets");
  if (!ready) return 2;
  deployment.group().work_ms = [](const std::string&) { return kWorkMs; };
  {
    // The usual time of a statement is what it is throughout.
    Client usual(deployment.RelayHost(1), deployment.front(), "tickets");
    for (int i = 0; i < 12; ++i)
      usual.Query("usual" + std::to_string(i), "READ warm");
  }
  // "no unplanned disruption from `contactMs` before the request"
  SleepMs(kContactMs);
  int64_t start = record.Ms();
  if (Troubled()) {
    deployment.relay(0).Signal(SIGTERM);
    record.Add("SIGTERM  relay0");
  }
  int misses = 0;
  for (int64_t poll = start + kFirstPollMs; poll < start + kConnectMs;
       poll += kPollMs) {
    SleepMs(poll - record.Ms());
    bool is_ready = deployment.Ready(0);
    misses = is_ready ? 0 : misses + 1;
    record.Add(std::string("platform relay0 is ") +
               (is_ready ? "ready" : "not ready") +
               ", misses in a row: " + std::to_string(misses));
  }
  if (misses >= 2) return 2;
  SleepMs(start + kConnectMs - record.Ms());
  std::mutex mutex;
  std::vector<Cut> cuts;
  int served = 0;
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      int64_t begun = record.Ms();
      Client client(deployment.RelayHost(0), deployment.front(), "tickets",
                    3000);
      if (!client.open()) {
        record.Add("client   " + std::to_string(c) + " is not taken");
        return;
      }
      client.Query("c" + std::to_string(c) + "begin", "BEGIN READ");
      for (int i = 1; i <= kStatements; ++i) {
        std::string id = "c" + std::to_string(c) + "s" + std::to_string(i);
        bool last = i == kStatements;
        int64_t sent = record.Ms();
        Answer answer = client.Query(id, last ? "COMMIT" : "READ warm");
        record.Add("answer   " + id + " sent " + std::to_string(sent - start) +
                   " ms after SIGTERM: " + answer.Text());
        std::lock_guard<std::mutex> lock(mutex);
        if (answer.Done()) ++served;
        if (answer.whole && answer.Done()) continue;
        if (!answer.whole) cuts.push_back({id, sent, record.Ms(), begun});
        return;
      }
    });
  }
  for (std::thread& client : clients) client.join();
  std::set<std::string> ran;
  for (const Ran& run : deployment.group().ran()) ran.insert(run.id);
  int lost = 0;
  for (const Cut& cut : cuts) {
    int64_t took = cut.ended_ms - cut.sent_ms;
    bool passed_on = ran.contains(cut.id);
    bool planned = cut.ended_ms - start <= kGraceMs + 1000;
    bool in_time =
        took < kTimeoutMs && cut.ended_ms - cut.begun_ms < kDeadlineMs;
    // "the member was still at work in the last sixth of `graceS` on a request
    // that was sent no later than 3 s after the SIGTERM"
    bool excused = cut.sent_ms - start <= 3000;
    bool counts =
        planned && in_time && !excused && (passed_on || took > kLossSlackMs);
    if (counts) ++lost;
    record.Add("cut      " + cut.id + " sent " +
               std::to_string(cut.sent_ms - start) + " ms, ended " +
               std::to_string(cut.ended_ms - start) + " ms after SIGTERM, " +
               (passed_on ? "passed on to a member" : "not passed on") +
               (counts ? ": LOST" : ": excused"));
  }
  record.Add("statements served: " + std::to_string(served) +
             "; requests that count as LOST: " + std::to_string(lost));
  return lost > 0 ? 1 : 0;
}
