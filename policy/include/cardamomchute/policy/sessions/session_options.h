/// Session settings that the proxy handles itself: startup options and SET/SHOW
/// of settings named `cardamomchute.*`.
#ifndef CARDAMOMCHUTE_POLICY_SESSIONS_SESSION_OPTIONS_H_
#define CARDAMOMCHUTE_POLICY_SESSIONS_SESSION_OPTIONS_H_

#include <optional>
#include <string>
#include <string_view>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/documents/document.h"

namespace cardamomchute {

/// Prefix of the settings that the proxy handles.
inline constexpr std::string_view kProxySettingPrefix = "cardamomchute.";

/// The values that the caller has set. Unset options use the caller's grant.
struct SessionOptions {
  std::optional<Rank> rank;
  std::optional<Duration> max_staleness;  ///< zero: exact; negative: unlimited
  /// Idempotency key of the next write or transaction, kept until that is
  /// acknowledged.
  OperationKey operation_key;
  SessionId session;
  std::optional<Floor> floor;
};

/// Sets one option, named without its prefix ("rank", "max_staleness_ms",
/// "operation_key", "session", "floor"). An empty value resets the rank, the
/// staleness or the key; the session id cannot be reset, and the floor never
/// decreases. kNotFound: unknown option. kInvalidInput: invalid value.
/// kUnauthorized: the value exceeds the grant.
Status SetSessionOption(std::string_view name, std::string_view value,
                        const Document& document, const Grant& grant,
                        SessionOptions* options);

/// Returns the value of an option as SHOW prints it. kNotFound: unknown option.
Result<std::string> ShowSessionOption(std::string_view name,
                                      const Document& document,
                                      const Grant& grant,
                                      const SessionOptions& options);

/// Returns the requested rank, limited to the granted one.
Rank EffectiveRank(const Grant& grant, const SessionOptions& options);

/// Returns the requested staleness bound, limited to the granted one.
Duration EffectiveStaleness(const Grant& grant, const SessionOptions& options);

/// Parses "term/position", the format of ToString(Floor).
std::optional<Floor> ParseFloor(std::string_view text);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_SESSIONS_SESSION_OPTIONS_H_
