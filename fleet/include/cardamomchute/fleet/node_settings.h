/// The settings of a relay or a control server, read from TOML. Validation
/// reports all errors at once.
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
#include "cardamomchute/policy/admission/rate_limit.h"

namespace cardamomchute {

enum class NodeKind : uint8_t { kRelay, kFleetController };

struct NodeSettings {
  NodeKind kind = NodeKind::kRelay;
  VmId vm;
  Zone zone;
  std::string log_level = "info";
  double link_mbps = 1000;         ///< link bandwidth, each direction
  Address peers;                   ///< where relays and control members connect
  std::optional<Address> callers;  ///< relay only
  std::optional<Address> ready;    ///< relay only
  std::optional<Address> http;     ///< control server only
  /// Control members; their port is that of `peers`.
  std::vector<Address> seeds;
  /// Whether this member may form the initial quorum with the seeds.
  bool may_bootstrap = false;
  std::string data_folder;                 ///< control server only
  std::optional<Address> promote_address;  ///< control server only
  /// Whether a replaced primary refuses statements by itself, and the platform
  /// checks fence tokens. If not, relays need leases to read at a primary.
  bool fencing = false;
  /// Time between SIGTERM and SIGKILL.
  Duration grace = Seconds(6);
  /// A key that is taken away is used nowhere after this long, also on VMs that
  /// control cannot reach. None: such VMs go on with what they last knew.
  std::optional<Duration> key_revocation;
  /// None: rate limits are not enforced.
  std::optional<RateTolerance> rate_tolerance;
  size_t memory_bytes = 0;  ///< of this VM, for this process; 0: not known
  size_t descriptors = 0;   ///< that this process may open; 0: not known
};

struct NodeSettingsOutcome {
  std::optional<NodeSettings> settings;
  std::vector<Fault> faults;
};

/// Returns the settings, or all faults found.
NodeSettingsOutcome ParseNodeSettings(std::string_view toml);

/// Returns true if the text holds the settings of a relay or a control server.
bool IsNodeSettings(std::string_view toml);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_FLEET_NODE_SETTINGS_H_
