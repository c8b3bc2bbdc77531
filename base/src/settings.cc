#include "cardamomchute/base/settings.h"

#include <arpa/inet.h>

#include <charconv>
#include <set>

#include "cardamomchute/base/toml_reader.h"

namespace cardamomchute {
namespace {

constexpr IntegerRange kThreadRange = {1, 64};
constexpr IntegerRange kDrainRangeMs = {0, 600'000};

bool IsIpNumber(const std::string& host) {
  in6_addr buffer;
  return inet_pton(AF_INET, host.c_str(), &buffer) == 1 ||
         inet_pton(AF_INET6, host.c_str(), &buffer) == 1;
}

std::optional<uint16_t> ParsePort(std::string_view text) {
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  std::from_chars_result read = std::from_chars(text.data(), end, port);
  if (read.ec != std::errc() || read.ptr != end || port == 0)
    return std::nullopt;
  return port;
}

std::string ReadLogLevel(TableReader* reader) {
  std::string level = reader->TextOr("log_level", "info");
  const std::set<std::string> levels = {"debug", "info", "warn", "error"};
  if (!levels.contains(level)) {
    reader->AddFault("log_level", "\"" + level + "\" is no level",
                     "write \"debug\", \"info\", \"warn\" or \"error\"");
  }
  return level;
}

void ReadListen(TableReader* top, Settings* settings) {
  std::optional<TableReader> listen = top->Table("listen");
  if (!listen) return;
  settings->callers = listen->OptionalAddressAt("callers");
  settings->peers = listen->OptionalAddressAt("peers");
  settings->http = listen->OptionalAddressAt("http");
  bool half = listen->Has("callers") != listen->Has("peers");
  if (half) {
    std::string missing = listen->Has("callers") ? "peers" : "callers";
    listen->AddFault(missing, "is missing",
                     "give both callers and peers on an entry VM, neither on "
                     "a VM that is only a control member");
  }
  listen->Finish();
}

void ReadSeeds(TableReader* control, Settings* settings) {
  std::set<std::string> ids;
  std::set<Address> addresses;
  for (TableReader& reader : control->Tables("seeds")) {
    ControlSeed seed;
    seed.id = VmId(reader.Text("id", "name the control member's VM"));
    seed.address = reader.AddressAt("address");
    reader.Finish();
    if (!seed.id.empty() && !ids.insert(seed.id.value()).second) {
      reader.AddFault("id", "stands twice", "name each control member once");
    }
    bool given = seed.address.port != 0;
    if (given && !addresses.insert(seed.address).second) {
      reader.AddFault("address", "stands twice",
                      "give each control member an address of its own");
    }
    settings->control_seeds.push_back(seed);
  }
}

void ReadControl(TableReader* top, Settings* settings) {
  constexpr std::string_view kRemedy =
      "write [control] seeds = [{ id = \"control-1\", address = "
      "\"10.0.0.1:7501\" }, ...]";
  std::optional<TableReader> control = top->Table("control");
  if (!control) {
    if (!top->Has("control"))
      top->AddFault("control.seeds", "is missing", std::string(kRemedy));
    return;
  }
  bool has_seeds = control->Has("seeds");
  ReadSeeds(&*control, settings);
  if (!has_seeds) {
    control->AddFault("seeds", "is missing", std::string(kRemedy));
  } else if (settings->control_seeds.empty()) {
    control->AddFault("seeds", "names nobody", std::string(kRemedy));
  }
  control->Finish();
}

void ReadMember(TableReader* top, Settings* settings) {
  std::optional<TableReader> reader = top->Table("member");
  if (!reader) return;
  MemberSettings member;
  member.listen = reader->AddressAt("listen");
  member.data_folder =
      reader->Text("data_folder", "name a folder on this VM's disk");
  reader->Finish();
  settings->member = member;
}

void CheckRoles(TableReader* top) {
  bool does_something = top->Has("listen") || top->Has("member");
  if (does_something) return;
  top->AddFault("listen", "is missing",
                "give [listen] callers and peers for an entry VM, or [member] "
                "for a control member");
}

Settings ReadAll(TableReader* top) {
  Settings settings;
  settings.vm = VmId(top->Text("vm", "name this VM, e.g. \"entry-1\""));
  settings.zone = Zone(top->Text("zone", "name this VM's availability zone"));
  settings.environment = Environment(
      top->Text("environment", "name the environment, e.g. \"production\""));
  settings.log_level = ReadLogLevel(top);
  settings.traffic_threads =
      static_cast<uint32_t>(top->Integer("traffic_threads", kThreadRange, 1));
  Duration fallback = settings.drain_timeout;
  settings.drain_timeout =
      Millis(top->Integer("drain_timeout_ms", kDrainRangeMs, fallback.ms()));
  ReadListen(top, &settings);
  ReadControl(top, &settings);
  ReadMember(top, &settings);
  CheckRoles(top);
  top->Finish();
  return settings;
}

}  // namespace

std::optional<Address> ParseAddress(std::string_view text) {
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::optional<uint16_t> port = ParsePort(text.substr(colon + 1));
  if (!port) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  bool brackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (brackets) host = host.substr(1, host.size() - 2);
  std::string number(host);
  bool is_v6 = number.find(':') != std::string::npos;
  if (is_v6 != brackets || !IsIpNumber(number)) return std::nullopt;
  return Address{number, *port};
}

SettingsOutcome ParseSettings(std::string_view toml) {
  SettingsOutcome outcome;
  std::optional<toml::table> table = ParseToml(toml, &outcome.faults);
  if (!table) return outcome;
  TableReader top(*table, "", &outcome.faults);
  Settings settings = ReadAll(&top);
  if (outcome.faults.empty()) outcome.settings = std::move(settings);
  return outcome;
}

}  // namespace cardamomchute
