/// A relay's authority over keys.
#include "cardamomchute/relay/relay.h"

namespace cardamomchute {

bool Relay::NeedsKeyAuthority() const {
  return key_authority_ && layout_ && layout_->organisations;
}

bool Relay::HasKeyAuthority() {
  return !NeedsKeyAuthority() ||
         key_authority_->Allows(layout_->version, Now());
}

void Relay::OnAuthority(uint64_t number, uint64_t granted, Duration valid,
                        uint64_t keeper_version,
                        const std::optional<KeeperMap>& keeper_map) {
  if (!key_authority_) return;
  uint64_t version = layout_ ? layout_->version : 0;
  std::optional<Time> until =
      key_authority_->OnGrant(number, granted, valid, version, Now());
  if (!until) return;
  if (keeper_map)
    SetKeeperMap(*keeper_map, *until);
  else
    ExtendKeeperMap(keeper_version, *until);
}

void Relay::AskAuthority() {
  if (NeedsKeyAuthority()) key_authority_->AskNow(layout_->version, Now());
}

void Relay::RenewAuthority(Time now) {
  if (NeedsKeyAuthority()) key_authority_->Renew(layout_->version, now);
}

}  // namespace cardamomchute
