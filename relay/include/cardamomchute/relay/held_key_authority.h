/// A relay's authority over the keys of its layout: asks control for it, and
/// says when it has ended. Runs on the traffic thread.
#ifndef CARDAMOMCHUTE_RELAY_HELD_KEY_AUTHORITY_H_
#define CARDAMOMCHUTE_RELAY_HELD_KEY_AUTHORITY_H_

#include <cstdint>
#include <functional>
#include <optional>

#include "cardamomchute/policy/lease/key_authority.h"
#include "cardamomchute/telemetry/metrics.h"

namespace cardamomchute {

struct HeldKeyAuthorityParams {
  Duration revocation;  ///< see AuthorityTime
  /// Asks control; `OnGrant` gets the answer.
  std::function<void(uint64_t number, uint64_t layout_version)> ask;
  Metrics* metrics = nullptr;
};

class HeldKeyAuthority {
 public:
  explicit HeldKeyAuthority(HeldKeyAuthorityParams params);

  /// Whether the keys of layout `layout_version` may be used. If not, counts a
  /// refusal.
  bool Allows(uint64_t layout_version, Time now);
  /// Asks control if it is time to.
  void Renew(uint64_t layout_version, Time now);
  /// Asks control at once: the link is new, so answers to earlier questions are
  /// lost, or the layout is.
  void AskNow(uint64_t layout_version, Time now);
  /// Takes the answer to question `number`, which grants the keys of `granted`
  /// and of later layouts. The relay has layout `layout_version`. Returns the
  /// end of the grant; nothing if the question was not asked, or is answered.
  std::optional<Time> OnGrant(uint64_t number, uint64_t granted, Duration valid,
                              uint64_t layout_version, Time now);

 private:
  void Note(uint64_t layout_version, Time now);

  HeldKeyAuthorityParams params_;
  AuthorityQuestions questions_;
  HeldAuthority held_;
  bool holds_ = false;  ///< as last logged
  Time granted_at_;     ///< when the last answered question was sent
  uint64_t granted_version_ = 0;
  Gauge* left_;
  Counter* refusals_;
  Counter* renewals_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_RELAY_HELD_KEY_AUTHORITY_H_
