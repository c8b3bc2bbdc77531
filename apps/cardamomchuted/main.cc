/// cardamomchuted: an entry VM or control member for PostgreSQL groups, or a
/// relay or steward for groups of the line protocol, as its settings say.
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "cardamomchute/base/log.h"
#include "cardamomchute/base/settings.h"
#include "fleet_controller_node.h"
#include "node.h"
#include "relay_node.h"

namespace {

using cardamomchute::Fault;
using cardamomchute::NodeSettings;
using cardamomchute::Settings;
using cardamomchute::SettingsOutcome;

constexpr int kExitOk = 0;
constexpr int kExitBadSettings = 1;
constexpr int kExitCannotStart = 2;

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Prints what is wrong with the settings in `path`.
void PrintFaults(const std::string& path, const std::vector<Fault>& faults) {
  for (const Fault& fault : faults) {
    std::cerr << path << ": " << ToString(fault) << "\n";
  }
}

int Serve(const Settings& settings) {
  cardamomchute::StartLog(settings.vm.value(),
                          cardamomchute::ParseLogLevel(settings.log_level));
  cardamomchute::Node node(settings);
  cardamomchute::Status started = node.Start();
  if (started.has_error()) {
    cardamomchute::LogLine(cardamomchute::LogLevel::kError, "start_failed")
        .Field("error", ToString(started.error()));
    return kExitCannotStart;
  }
  node.Run();
  return kExitOk;
}

int ServeFleet(const NodeSettings& settings, const std::string& path) {
  cardamomchute::StartLog(settings.vm.value(),
                          cardamomchute::ParseLogLevel(settings.log_level));
  cardamomchute::ReloadSettings reload =
      [path]() -> std::optional<NodeSettings> {
    std::optional<std::string> text = ReadFile(path);
    if (!text) return std::nullopt;
    return cardamomchute::ParseNodeSettings(*text).settings;
  };
  auto serve = [](auto& node) {
    cardamomchute::Status started = node.Start();
    if (started.has_error()) {
      cardamomchute::LogLine(cardamomchute::LogLevel::kError, "start_failed")
          .Field("error", ToString(started.error()));
      return false;
    }
    return true;
  };
  if (settings.kind == cardamomchute::NodeKind::kRelay) {
    cardamomchute::RelayNode node(settings, reload);
    if (!serve(node)) return kExitCannotStart;
    node.Run();
    return kExitOk;
  }
  cardamomchute::FleetControllerNode node(settings, reload);
  if (!serve(node)) return kExitCannotStart;
  return node.Run() ? kExitOk : kExitCannotStart;
}

/// Serves, or only checks, what the settings in `path` ask for.
int Start(const std::string& path, bool check_only) {
  std::optional<std::string> text = ReadFile(path);
  if (!text) {
    std::cerr << "cannot read " << path << "; name a file with --config\n";
    return kExitBadSettings;
  }
  if (cardamomchute::IsNodeSettings(*text)) {
    cardamomchute::NodeSettingsOutcome outcome =
        cardamomchute::ParseNodeSettings(*text);
    PrintFaults(path, outcome.faults);
    if (!outcome.settings) return kExitBadSettings;
    if (!check_only) return ServeFleet(*outcome.settings, path);
  } else {
    SettingsOutcome outcome = cardamomchute::ParseSettings(*text);
    PrintFaults(path, outcome.faults);
    if (!outcome.settings) return kExitBadSettings;
    if (!check_only) return Serve(*outcome.settings);
  }
  std::cout << "settings are valid\n";
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("database proxy with session consistency", ' ',
                           cardamomchute_version);
    TCLAP::ValueArg<std::string> config("c", "config", "settings in TOML", true,
                                        "", "FILE", command);
    TCLAP::SwitchArg check("", "check", "check the settings and end", command);
    command.parse(argc, argv);
    return Start(config.getValue(), check.getValue());
  } catch (const TCLAP::ArgException& e) {
    std::cerr << e.error() << " " << e.argId() << "\n";
    return kExitBadSettings;
  }
}
