/// A member leaves and starts again under its id. Its leave was held up on the
/// way to one steward, and arrives after the start. Later the other replica
/// receives nothing for a while, and the primary crashes meanwhile.
#include "ledger.h"
#include "proxy.h"

using namespace review;

namespace {

int Play(const std::string& program) {
  Ledger ledger(program, "127.0.61.");
  System& system = ledger.system();
  Group& group = ledger.group();
  // Member 1 reaches steward 1 through a proxy.
  Proxy proxy("127.0.61.200", system.Control(1));
  Endpoint near{"127.0.61.200", proxy.port()};
  group.path = [&](size_t i, const Endpoint& node) {
    return i == 1 && node.host == system.Control(1).host ? near : node;
  };
  // Ends before the proxy.
  struct Quiet {
    Group& group;
    ~Quiet() { group.StopBeats(); }
  } quiet{group};
  if (!ledger.Start()) return kCannotRun;

  SleepMs(2000);
  // Planned: member 1 leaves, and starts again.
  Group::Member& restarted = group.member(1);
  group.With([&] { return restarted.leaving = true; });
  if (!group.BeatOnce(1)) return kCannotRun;
  Note("member 1 leaves; acknowledged");
  SleepMs(6000);
  // An open connection of member 1 to steward 1, which has been used.
  int link = ConnectTo(near, 1000);
  std::string path = "/instances/" + restarted.id + "/leave";
  std::string body = Text("{\"service\":\"ledger\",\"seq\":%llu,\"born\":%llu}",
                          (unsigned long long)restarted.sequence + 100,
                          (unsigned long long)restarted.born);
  SendAll(link, HttpText("GET", "/config/get", near, ""));
  ReadHttpAnswer(link, 1000);
  if (Trouble()) {
    proxy.Hold(true);
    Note("member 1 and steward 1 are partitioned");
  }
  SleepMs(1200);
  SendAll(link, HttpText("POST", path, near, body));
  HttpAnswer left = ReadHttpAnswer(link, 1000);
  ::close(link);
  Note(Text("leave to steward 1: %d", left.status));
  if (left.status == 0) {
    left = HttpCall(system.Control(2), "POST", path, body, 1000);
    Note(Text("leave to steward 2: %d", left.status));
  }
  if (left.status != 200) return kCannotRun;
  group.End(1);
  Note("member 1 has ended");
  SleepMs(500);
  group.StartAgain(1);
  Note(Text("member 1 starts again, born %llu",
            (unsigned long long)restarted.born));
  SleepMs(2000);
  Note("the partition heals");
  proxy.Hold(false);
  SleepMs(5000);
  return ledger.LagAndCrash();
}

}  // namespace

int main(int argc, char** argv) { return Main(argc, argv, Play); }
