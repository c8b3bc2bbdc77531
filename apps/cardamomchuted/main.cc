/// cardamomchuted: serves callers, owns groups, or is a control member, as its
/// settings say.
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "cardamomchute/base/log.h"
#include "cardamomchute/base/settings.h"
#include "node.h"

namespace {

using cardamomchute::Fault;
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

std::optional<Settings> LoadSettings(const std::string& path) {
  std::optional<std::string> text = ReadFile(path);
  if (!text) {
    std::cerr << "cannot read " << path << "; name a file with --config\n";
    return std::nullopt;
  }
  SettingsOutcome outcome = cardamomchute::ParseSettings(*text);
  for (const Fault& fault : outcome.faults) {
    std::cerr << path << ": " << ToString(fault) << "\n";
  }
  return outcome.settings;
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

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("database proxy with session consistency", ' ',
                           cardamomchute_version);
    TCLAP::ValueArg<std::string> config("c", "config", "settings in TOML", true,
                                        "", "FILE", command);
    TCLAP::SwitchArg check("", "check", "check the settings and end", command);
    command.parse(argc, argv);
    std::optional<Settings> settings = LoadSettings(config.getValue());
    if (!settings) return kExitBadSettings;
    if (check.getValue()) {
      std::cout << "settings are valid\n";
      return kExitOk;
    }
    return Serve(*settings);
  } catch (const TCLAP::ArgException& e) {
    std::cerr << e.error() << " " << e.argId() << "\n";
    return kExitBadSettings;
  }
}
