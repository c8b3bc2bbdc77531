/// Another writer says something odd at the address of a replica. Later the
/// other replica receives nothing for a while, and the primary crashes
/// meanwhile.
#include "ledger.h"

using namespace review;

namespace {

int Play(const std::string& program) {
  Ledger ledger(program, "127.0.62.");
  System& system = ledger.system();
  Group& group = ledger.group();
  if (!ledger.Start()) return kCannotRun;
  SleepMs(2000);
  if (Trouble()) {
    // No `version`, and a text in place of the number `coldLeftMs`.
    std::string body = Text(
        "{\"service\":\"ledger\",\"addr\":\"%s\",\"zone\":\"z1\","
        "\"slots\":2,\"state\":\"ready\",\"coldLeftMs\":\"none\","
        "\"dbRole\":\"replica\",\"seq\":1,\"born\":%llu}",
        group.member(1).address.ToString().c_str(),
        (unsigned long long)WallMs());
    HttpAnswer answer = HttpCall(system.Control(1), "POST",
                                 "/instances/i-other7/beat", body, 1000);
    Note(Text("odd heartbeat %s -> %d", body.c_str(), answer.status));
  }
  SleepMs(2000);
  if (Trouble()) {
    // It goes as it came.
    HttpAnswer answer =
        HttpCall(system.Control(1), "POST", "/instances/i-other7/leave",
                 "{\"service\":\"ledger\",\"seq\":2}", 1000);
    Note(Text("leave of the other writer -> %d", answer.status));
  }
  SleepMs(5000);
  return ledger.LagAndCrash();
}

}  // namespace

int main(int argc, char** argv) { return Main(argc, argv, Play); }
