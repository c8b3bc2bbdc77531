#include "cardamomchute/relay/held_key_authority.h"

#include <algorithm>
#include <utility>

#include "cardamomchute/base/log.h"

namespace cardamomchute {

HeldKeyAuthority::HeldKeyAuthority(HeldKeyAuthorityParams params)
    : params_(std::move(params)),
      left_(&params_.metrics->GetGauge("relay_key_authority_left_ms")),
      refusals_(
          &params_.metrics->GetCounter("relay_key_authority_refusals_total")),
      renewals_(
          &params_.metrics->GetCounter("relay_key_authority_renewals_total")) {}

bool HeldKeyAuthority::Allows(uint64_t layout_version, Time now) {
  Note(layout_version, now);
  if (holds_) return true;
  refusals_->Add();
  Renew(layout_version, now);
  return false;
}

void HeldKeyAuthority::Renew(uint64_t layout_version, Time now) {
  Note(layout_version, now);
  if (IsQuestionDue(questions_, held_, layout_version, now))
    AskNow(layout_version, now);
}

void HeldKeyAuthority::AskNow(uint64_t layout_version, Time now) {
  params_.ask(Ask(questions_, now, AuthorityTime(params_.revocation)),
              layout_version);
}

std::optional<Time> HeldKeyAuthority::OnGrant(uint64_t number, uint64_t granted,
                                              Duration valid,
                                              uint64_t layout_version,
                                              Time now) {
  // Control may have been given a longer time than this VM.
  valid = std::min(valid, AuthorityTime(params_.revocation));
  std::optional<KeyGrant> grant =
      TakeAnswer(questions_, number, granted, valid);
  if (!grant) return std::nullopt;
  renewals_->Add();
  granted_at_ = grant->until - valid;
  granted_version_ = granted;
  Extend(held_, *grant, now);
  Note(layout_version, now);
  return grant->until;
}

/// Tells operators what is left, and logs a change.
void HeldKeyAuthority::Note(uint64_t layout_version, Time now) {
  Time end = AuthorityEnd(held_, layout_version);
  Duration left = std::max(end - now, Duration());
  left_->Set(left.ms());
  bool holds = now < end;
  if (holds == holds_) return;
  holds_ = holds;
  LogLine(LogLevel::kInfo,
          holds ? "key_authority_regained" : "key_authority_lost")
      .Field("layout_version", layout_version)
      .Field("granted_version", granted_version_)
      .Field("grant_age_ms", (now - granted_at_).ms())
      .Field("remaining_ms", left.ms());
}

}  // namespace cardamomchute
