/// The settings of one daemon, read from TOML and checked as a whole.
///
///     vm = "entry-1"
///     zone = "waikato-a"
///     environment = "production"
///     [listen]
///     callers = "127.0.0.1:6432"
///     peers = "127.0.0.1:7001"
///     http = "127.0.0.1:8001"
///     [control]
///     seeds = [{ id = "control-1", address = "127.0.0.1:7501" },
///              { id = "control-2", address = "127.0.0.1:7502" },
///              { id = "control-3", address = "127.0.0.1:7503" }]
#ifndef CARDAMOMCHUTE_BASE_SETTINGS_H_
#define CARDAMOMCHUTE_BASE_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomchute/base/fault.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// A control member as the settings name it. `id` is its VM.
struct ControlSeed {
  VmId id;
  Address address;
};

/// What a control member needs besides.
struct MemberSettings {
  Address listen;
  std::string data_folder;
};

struct Settings {
  VmId vm;
  Zone zone;
  Environment environment;
  /// Where callers connect; absent on a VM that is only a control member.
  std::optional<Address> callers;
  /// Where other VMs connect for statements; absent likewise.
  std::optional<Address> peers;
  /// Health, readiness, metrics, announcements, operators.
  std::optional<Address> http;
  std::vector<ControlSeed> control_seeds;
  std::optional<MemberSettings> member;  ///< present on control members
  uint32_t traffic_threads = 1;
  std::string log_level = "info";
  Duration drain_timeout = Seconds(20);
};

/// Settings, or every fault there is in them.
struct SettingsOutcome {
  std::optional<Settings> settings;
  std::vector<Fault> faults;
};

SettingsOutcome ParseSettings(std::string_view toml);

/// "127.0.0.1:6432" or "[::1]:6432".
std::optional<Address> ParseAddress(std::string_view text);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_BASE_SETTINGS_H_
