/// What a caller may ask of the proxy for its own session: startup options and
/// SET/SHOW of settings named `cardamomchute.*`.
#ifndef CARDAMOMCHUTE_POLICY_SESSION_OPTIONS_H_
#define CARDAMOMCHUTE_POLICY_SESSION_OPTIONS_H_

#include <optional>
#include <string>
#include <string_view>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/document.h"

namespace cardamomchute {

/// All product settings start with it.
inline constexpr std::string_view kProxySettingPrefix = "cardamomchute.";

/// What the caller asked for; absent: as the document grants.
struct SessionOptions {
  std::optional<Rank> rank;
  std::optional<Duration> max_staleness;  ///< zero exact, negative any age
  /// Goes with the next write or transaction, until that is acknowledged.
  OperationKey operation_key;
  SessionId session;
  std::optional<Floor> floor;
};

/// Sets one option, named without its prefix ("rank", "max_staleness_ms",
/// "operation_key", "session", "floor"). An empty value takes the option back;
/// a session id can't be taken back, and a floor only rises. kNotFound: no such
/// option. kInvalidInput: not a value of it. kUnauthorized: more than granted.
Status SetSessionOption(std::string_view name, std::string_view value,
                        const Document& document, const Grant& grant,
                        SessionOptions* options);

/// An option's value as SHOW prints it; kNotFound when there is none.
Result<std::string> ShowSessionOption(std::string_view name,
                                      const Document& document,
                                      const Grant& grant,
                                      const SessionOptions& options);

/// The rank to serve under: what was asked for, but never more urgent than
/// granted.
Rank EffectiveRank(const Grant& grant, const SessionOptions& options);

/// The staleness bound to serve under, never looser than granted.
Duration EffectiveStaleness(const Grant& grant, const SessionOptions& options);

/// Reads "term/position" as ToString(Floor) prints it.
std::optional<Floor> ParseFloor(std::string_view text);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_SESSION_OPTIONS_H_
