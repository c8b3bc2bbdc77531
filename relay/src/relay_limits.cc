/// A relay's part in rate limits over all relays.
#include <utility>

#include "cardamomchute/relay/relay.h"
#include "rate_limiter.h"

namespace cardamomchute {

std::shared_ptr<RateLimiter> Relay::MakeLimiter() {
  if (!params_.rate_tolerance) return nullptr;
  RateLimiterParams params;
  params.io = params_.io;
  params.self = params_.vm;
  params.tolerance = *params_.rate_tolerance;
  params.metrics = params_.metrics;
  std::weak_ptr<Relay> weak = weak_from_this();
  params.limit_of =
      [weak](const OrganisationName& organisation) -> std::optional<RateLimit> {
    std::shared_ptr<Relay> self = weak.lock();
    return self ? self->LimitOf(organisation) : std::nullopt;
  };
  params.ask = [weak](const VmId& keeper, const TokenQuestion& question,
                      TokenDone done) {
    std::shared_ptr<Relay> self = weak.lock();
    return self && self->AskTokens(keeper, question, std::move(done));
  };
  return std::make_shared<RateLimiter>(std::move(params));
}

std::optional<RateLimit> Relay::LimitOf(
    const OrganisationName& organisation) const {
  if (!layout_ || !layout_->organisations) return std::nullopt;
  auto spec = layout_->organisations->specs.find(organisation);
  if (spec == layout_->organisations->specs.end()) return std::nullopt;
  const std::optional<RateLimit>& limit = spec->second.limit;
  if (!limit) return std::nullopt;
  return EnforcedLimit(*limit, *params_.rate_tolerance);
}

bool Relay::AskTokens(const VmId& keeper, const TokenQuestion& question,
                      std::function<void(std::optional<TokenAnswer>)> done) {
  auto record = directory_.relays.find(keeper);
  bool reachable = record != directory_.relays.end() && !record->second.gone &&
                   !mesh_->Avoided(record->second.address);
  if (!reachable) return false;
  mesh_->AskTokens(record->second.address, question, std::move(done));
  return true;
}

void Relay::AcceptOperation(const OrganisationName& organisation,
                            Time hold_until,
                            std::function<void(LimitVerdict)> done) {
  if (!limiter_) return done(LimitVerdict::kAccepted);
  limiter_->Accept(organisation, hold_until, std::move(done));
}

void Relay::SetKeeperMap(const KeeperMap& map, Time valid_until) {
  if (limiter_) limiter_->SetKeeperMap(map, valid_until);
}

void Relay::ExtendKeeperMap(uint64_t version, Time valid_until) {
  if (version == 0 || version != KeeperVersion()) return;
  KeeperMap map = limiter_->keeper_map();
  limiter_->SetKeeperMap(map, valid_until);
}

uint64_t Relay::KeeperVersion() const {
  return limiter_ ? limiter_->keeper_map().version : 0;
}

}  // namespace cardamomchute
