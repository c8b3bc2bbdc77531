#include "cardamomchute/fleet/node_settings.h"

#include "cardamomchute/base/settings.h"
#include "cardamomchute/base/toml_reader.h"

namespace cardamomchute {
namespace {

constexpr IntegerRange kGraceRangeS = {1, 600};
constexpr NumberRange kLinkRangeMbps = {0.01, 1e6};
constexpr IntegerRange kMemoryRangeMb = {16, 1 << 24};
constexpr IntegerRange kDescriptorRange = {64, 1 << 24};
constexpr IntegerRange kRevocationRangeMs = {1000, 3'600'000};
constexpr IntegerRange kRateWindowRangeS = {1, 3600};
constexpr NumberRange kRateExcessRange = {0, 10};
constexpr IntegerRange kRateSlackRange = {0, 1'000'000};

void ReadKind(TableReader* top, NodeSettings* settings) {
  std::string kind = top->Text("kind", "write \"relay\" or \"steward\"");
  if (kind == "steward") {
    settings->kind = NodeKind::kFleetController;
  } else if (!kind.empty() && kind != "relay") {
    top->AddFault("kind", "\"" + kind + "\" is not a known kind",
                  "write \"relay\" or \"steward\"");
  }
}

void ReadListen(TableReader* top, NodeSettings* settings) {
  std::optional<TableReader> listen = top->Table("listen");
  if (!listen) {
    top->AddFault("listen", "is missing", "write [listen] peers = \"IP:port\"");
    return;
  }
  settings->peers = listen->AddressAt("peers");
  settings->callers = listen->OptionalAddressAt("callers");
  settings->ready = listen->OptionalAddressAt("ready");
  settings->http = listen->OptionalAddressAt("http");
  bool relay = settings->kind == NodeKind::kRelay;
  if (relay && !settings->callers)
    listen->AddFault("callers", "is missing", "a relay needs it: \"IP:port\"");
  if (relay && !settings->ready)
    listen->AddFault("ready", "is missing", "a relay needs it: \"IP:port\"");
  if (!relay && !settings->http)
    listen->AddFault("http", "is missing", "a steward needs it: \"IP:port\"");
  listen->Finish();
}

void ReadControl(TableReader* top, NodeSettings* settings) {
  std::optional<TableReader> control = top->Table("control");
  if (!control) {
    top->AddFault("control", "is missing",
                  "write [control] seeds = [\"IP:port\", ...]");
    return;
  }
  for (const std::string& text : control->Texts(
           "seeds", "name control members: seeds = [\"IP:port\", ...]")) {
    std::optional<Address> seed = ParseAddress(text);
    if (!seed) {
      control->AddFault("seeds", "\"" + text + "\" is not an address",
                        "write \"IP:port\"");
      continue;
    }
    seed->port = settings->peers.port;
    settings->seeds.push_back(*seed);
  }
  settings->may_bootstrap = control->BoolOr("may_found", false);
  settings->fencing = control->BoolOr("fencing", false);
  settings->data_folder = control->TextOr("data_folder", "");
  settings->promote_address = control->OptionalAddressAt("promote_at");
  if (settings->kind == NodeKind::kFleetController &&
      settings->data_folder.empty())
    control->AddFault("data_folder", "is missing",
                      "a steward needs its own data folder");
  control->Finish();
}

void ReadOrganisations(TableReader* top, NodeSettings* settings) {
  std::optional<TableReader> organisations = top->Table("organisations");
  if (!organisations) return;
  int64_t revocation_ms =
      organisations->Integer("revocation_ms", kRevocationRangeMs, 0);
  if (revocation_ms > 0) settings->key_revocation = Millis(revocation_ms);
  int64_t window_s =
      organisations->Integer("rate_window_s", kRateWindowRangeS, 0);
  RateTolerance tolerance;
  tolerance.window = Seconds(window_s);
  tolerance.excess = organisations->Number("rate_excess", kRateExcessRange, 0);
  tolerance.slack = static_cast<uint64_t>(
      organisations->Integer("rate_slack", kRateSlackRange, 0));
  if (window_s > 0) settings->rate_tolerance = tolerance;
  // Tokens must live long enough to be used.
  bool too_strict =
      settings->rate_tolerance &&
      tolerance.window.ms() * tolerance.excess < kMinTokenLife.ms();
  if (too_strict)
    organisations->AddFault("rate_excess", "is too small for rate_window_s",
                            "let their product be 0.1 s or more");
  // Who counts is granted with the authority over keys.
  if (settings->rate_tolerance && !settings->key_revocation)
    organisations->AddFault("rate_window_s", "needs revocation_ms",
                            "set revocation_ms, too");
  organisations->Finish();
}

void ReadLimits(TableReader* top, NodeSettings* settings) {
  constexpr size_t kBytesPerMb = 1024 * 1024;
  std::optional<TableReader> limits = top->Table("limits");
  if (!limits) return;
  settings->memory_bytes =
      static_cast<size_t>(limits->Integer("memory_mb", kMemoryRangeMb, 0)) *
      kBytesPerMb;
  settings->descriptors =
      static_cast<size_t>(limits->Integer("descriptors", kDescriptorRange, 0));
  limits->Finish();
}

}  // namespace

NodeSettingsOutcome ParseNodeSettings(std::string_view toml) {
  NodeSettingsOutcome outcome;
  std::optional<toml::table> table = ParseToml(toml, &outcome.faults);
  if (!table) return outcome;
  TableReader top(*table, "", &outcome.faults);
  NodeSettings settings;
  ReadKind(&top, &settings);
  settings.vm = VmId(top.Text("vm", "name this VM, e.g. \"entry-1\""));
  settings.zone = Zone(top.Text("zone", "name its availability zone"));
  settings.log_level = top.TextOr("log_level", "info");
  settings.link_mbps =
      top.Number("link_mbps", kLinkRangeMbps, settings.link_mbps);
  ReadListen(&top, &settings);
  ReadControl(&top, &settings);
  if (std::optional<TableReader> drain = top.Table("drain")) {
    settings.grace = Seconds(
        drain->Integer("grace_s", kGraceRangeS, settings.grace.ms() / 1000));
    drain->Finish();
  }
  ReadOrganisations(&top, &settings);
  ReadLimits(&top, &settings);
  top.Finish();
  if (outcome.faults.empty()) outcome.settings = std::move(settings);
  return outcome;
}

bool IsNodeSettings(std::string_view toml) {
  std::vector<Fault> ignored;  // the parser for that kind reports them
  std::optional<toml::table> table = ParseToml(toml, &ignored);
  return table && table->contains("kind");
}

}  // namespace cardamomchute
