/// Decides by a caller's key whether its statements may run, and for which
/// organisation. Pure functions without I/O.
#ifndef CARDAMOMCHUTE_POLICY_SESSIONS_KEY_CHECK_H_
#define CARDAMOMCHUTE_POLICY_SESSIONS_KEY_CHECK_H_

#include <cstdint>
#include <string_view>

#include "cardamomchute/policy/documents/layout.h"

namespace cardamomchute {

enum class KeyDecision : uint8_t {
  kAllowed,
  kUnauthorized,  ///< no organisation holds the key
  kNoAuthority    ///< whether the key still counts is not known now
};

std::string_view ToString(KeyDecision decision);

/// Stands for callers of public routes whose key no organisation holds.
inline constexpr char kNoOrganisation[] = "-";

/// Decides whether a caller with `key` may use `route`. `has_authority`: the
/// layout is known to be in force, so that what it says of keys counts.
KeyDecision CheckKey(const Layout& layout, const RouteSpec& route,
                     const CallerKey& key, bool has_authority);

/// Returns whose statements a caller with `key` sends: empty if callers need no
/// key, kNoOrganisation if no organisation holds it.
OrganisationName OrganisationOf(const Layout& layout, const CallerKey& key);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_SESSIONS_KEY_CHECK_H_
