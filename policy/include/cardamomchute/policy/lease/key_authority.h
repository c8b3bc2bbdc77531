/// Authority over keys: how long a relay may go by the keys of a layout without
/// news from control.
///
/// The control leader grants it from the last round that a quorum confirmed: no
/// newer layout than its own had been acknowledged when that round began. The
/// grant ends `AuthorityTime` later. Other control members pass on what is left
/// of it. Each receiver counts from when it sent its question, so that clocks
/// are never compared. Pure functions without I/O.
#ifndef CARDAMOMCHUTE_POLICY_LEASE_KEY_AUTHORITY_H_
#define CARDAMOMCHUTE_POLICY_LEASE_KEY_AUTHORITY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// Part of the time to revoke a key that covers clocks of different rates.
inline constexpr Duration kAuthorityMargin = Millis(250);
/// Interval between a relay's questions.
inline constexpr Duration kAuthorityRenewal = Seconds(1);
/// The same while it has no authority.
inline constexpr Duration kAuthorityRetry = Millis(200);
/// A control member asks the leader again once its last question is this old.
inline constexpr Duration kAuthorityRefresh = Millis(250);

/// Returns how long a grant lasts if a key must be used nowhere `revocation`
/// after the layout without it was acknowledged.
Duration AuthorityTime(Duration revocation);

/// Allows the use of the keys in layout `layout_version` and in later ones.
struct KeyGrant {
  uint64_t layout_version = 0;
  Time until;

  friend bool operator==(const KeyGrant&, const KeyGrant&) = default;
};

/// Returns the grant of a leader that has applied layout `layout_version`, and
/// whose last confirmed round began at `confirmed`.
KeyGrant GrantFromRound(Time confirmed, uint64_t layout_version,
                        Duration revocation);

/// Returns what a receiver is told: the time left.
Duration TimeLeft(const KeyGrant& grant, Time now);

/// Questions without an answer.
struct AuthorityQuestions {
  uint64_t last = 0;              ///< number of the last one
  Time asked;                     ///< when it was sent
  std::map<uint64_t, Time> sent;  ///< by number
};

/// Records a question sent at `now`, and returns its number. Forgets those that
/// are older than `kept`.
uint64_t Ask(AuthorityQuestions& questions, Time now, Duration kept);

/// Returns the grant in the answer to question `number`, which counts from when
/// that was sent; nullopt if it was not asked or has been answered.
std::optional<KeyGrant> TakeAnswer(AuthorityQuestions& questions,
                                   uint64_t number, uint64_t layout_version,
                                   Duration valid);

/// What a control member has of the leader, to pass on.
struct DelegatedAuthority {
  AuthorityQuestions questions;
  KeyGrant grant;
  Time asked;  ///< when the last answered question was sent
};

/// Takes the leader's answer to question `number`. Returns false if it was not
/// asked or has been answered.
bool TakeDelegated(DelegatedAuthority& delegated, uint64_t number,
                   uint64_t layout_version, Duration valid);

/// Whether a relay can be answered without asking the leader again.
bool IsFresh(const DelegatedAuthority& delegated, Time now);

/// Grants that a relay holds. An older layout's grant lasts on when a newer
/// layout is granted before the relay has it.
struct HeldAuthority {
  std::map<uint64_t, Time> until;  ///< by layout version
};

/// Adds a grant, and forgets those that have ended at `now`.
void Extend(HeldAuthority& held, const KeyGrant& grant, Time now);

/// Returns when the authority over the keys in layout `layout_version` ends.
Time AuthorityEnd(const HeldAuthority& held, uint64_t layout_version);

bool HoldsAuthority(const HeldAuthority& held, uint64_t layout_version,
                    Time now);

/// Whether a relay that routes by layout `layout_version` should ask now.
bool IsQuestionDue(const AuthorityQuestions& questions,
                   const HeldAuthority& held, uint64_t layout_version,
                   Time now);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_LEASE_KEY_AUTHORITY_H_
