/// The settings of a relay or a steward, read from TOML and checked as a
/// whole.
///
///     kind = "relay"
///     vm = "entry-1"
///     zone = "waikato-a"
///     [listen]
///     callers = "127.0.0.1:6432"
///     peers = "127.0.0.1:7001"
///     ready = "127.0.0.1:8001"
///     [control]
///     seeds = ["127.0.0.2:8500"]
///     [drain]
///     grace_s = 6
#ifndef CARDAMOMCHUTE_FLEET_NODE_SETTINGS_H_
#define CARDAMOMCHUTE_FLEET_NODE_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomchute/base/fault.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

enum class NodeKind : uint8_t { kRelay, kFleetController };

struct NodeSettings {
  NodeKind kind = NodeKind::kRelay;
  VmId vm;
  Zone zone;
  std::string log_level = "info";
  double link_mbps = 1000;         ///< of this VM's network link, each way
  Address peers;                   ///< where relays and control members connect
  std::optional<Address> callers;  ///< a relay's
  std::optional<Address> ready;    ///< a relay's
  std::optional<Address> http;     ///< a steward's
  /// Control members, at the port of `peers`.
  std::vector<Address> seeds;
  bool may_bootstrap = false;
  std::string data_folder;                 ///< a steward's
  std::optional<Address> promote_address;  ///< a steward's
  /// From SIGTERM until the process is killed.
  Duration grace = Seconds(6);
};

struct NodeSettingsOutcome {
  std::optional<NodeSettings> settings;
  std::vector<Fault> faults;
};

NodeSettingsOutcome ParseNodeSettings(std::string_view toml);

/// Whether the text is that of a relay or a steward.
bool IsNodeSettings(std::string_view toml);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_FLEET_NODE_SETTINGS_H_
