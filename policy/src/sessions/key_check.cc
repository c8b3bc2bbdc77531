#include "cardamomchute/policy/sessions/key_check.h"

namespace cardamomchute {

std::string_view ToString(KeyDecision decision) {
  switch (decision) {
    case KeyDecision::kAllowed:
      return "allowed";
    case KeyDecision::kUnauthorized:
      return "unauthorized";
    case KeyDecision::kNoAuthority:
      return "no_authority";
  }
  return "no_authority";
}

KeyDecision CheckKey(const Layout& layout, const RouteSpec& route,
                     const CallerKey& key, bool has_authority) {
  if (!layout.organisations || route.is_public) return KeyDecision::kAllowed;
  // An older layout may lack a key that is valid by now.
  if (!has_authority) return KeyDecision::kNoAuthority;
  return OwnerOf(layout, key) != nullptr ? KeyDecision::kAllowed
                                         : KeyDecision::kUnauthorized;
}

OrganisationName OrganisationOf(const Layout& layout, const CallerKey& key) {
  if (!layout.organisations) return OrganisationName();
  const OrganisationName* owner = OwnerOf(layout, key);
  return owner != nullptr ? *owner : OrganisationName(kNoOrganisation);
}

}  // namespace cardamomchute
