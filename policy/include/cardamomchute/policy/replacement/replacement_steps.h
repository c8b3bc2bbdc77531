/// The steps of a primary's replacement, as a state machine without I/O.
///
/// Events (answers of endpoints and of the platform, timers) come in, actions
/// come out; the caller performs them and reports what they gave. One run
/// checks a group's primary and replaces it if need be:
///
///     status of all --+--> keep: resume replicas, record the primary
///                     +--> primary answers:    demote it   --+
///                     +--> it does not answer: end leases  --+--> status of
///                     all
///
///     choose a successor --> pause all others --> send an order --> poll
///
/// A successor has all that relays may have acknowledged: either the primary
/// was demoted, and the successor has its whole log; or no relay has a lease on
/// the primary any more and all counted replicas were paused after that, and
/// the successor has received the most. If a replica was lost that had more, or
/// that another one had not caught up with, the run waits for the former
/// primary, until that is given up. No lease is granted until the orders are
/// settled, so that it does not matter when an order is carried out.
#ifndef CARDAMOMCHUTE_POLICY_REPLACEMENT_REPLACEMENT_STEPS_H_
#define CARDAMOMCHUTE_POLICY_REPLACEMENT_REPLACEMENT_STEPS_H_

#include <functional>
#include <optional>
#include <vector>

#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/replacement/group_copies.h"
#include "cardamomchute/policy/replacement/primary_replacement.h"
#include "cardamomchute/policy/replacement/promotion_orders.h"

namespace cardamomchute {

enum class ReplacementActionKind : uint8_t {
  kAskStatus,  ///< ask all endpoints; answered by OnStatus
  kDemote,     ///< `endpoint`, below `term`; answered by OnDemoted
  kEndLeases,  ///< on the group's primary; answered by OnLeasesEnded
  kPause,      ///< all but `endpoint`, below `term`; answered by OnPaused
  /// Record the orders, then send that for `endpoint`; answered by
  /// OnOrderAnswered.
  kSendOrder,
  kPoll,         ///< ask `endpoint`; answered by OnPolled
  kDemoteStale,  ///< `endpoint` acts as primary below `term`; not answered
  kResume,       ///< `endpoint`; not answered
  kConfirm,      ///< `endpoint` is the only primary: leases may be granted
  kAdopt,        ///< record `endpoint` as the primary, in `term`
  kWait,         ///< for `delay`; answered by OnTimer
  kFinish
};

struct ReplacementAction {
  ReplacementActionKind kind = ReplacementActionKind::kFinish;
  EndpointId endpoint;
  Term term;
  Duration delay;
};

using ReplacementActions = std::vector<ReplacementAction>;

/// What an order gave.
enum class PromoteOutcome : uint8_t {
  kAccepted,  ///< the promotion will be carried out
  kRefused,   ///< stale token, or the endpoint is not running
  kUnknown,   ///< no conclusive answer; the promotion may still happen
  kNotSent    ///< dropped: too late to send it, or no connection
};

/// What a run knows. The first part is set by its creator.
struct Replacement {
  EndpointId recorded;  ///< recorded primary; empty if unknown
  PrimaryReplacementCause cause = PrimaryReplacementCause::kReview;
  /// kLagging: a replica with a higher lag can serve almost no reads.
  Duration lag_bound;
  /// This leader has confirmed the recorded primary, and has sent no order
  /// since.
  bool confirmed = false;
  /// Orders of earlier runs, also of earlier leaders, that may take effect.
  PromotionOrders orders;
  /// Earlier leaders may send orders until then.
  Time first_order_at;
  GroupCopies copies;  ///< kept from run to run
  /// Returns a token higher than all before.
  std::function<uint64_t()> next_token;

  Time started;
  Time asked;                    ///< start of the last round of status queries
  bool suspected_again = false;  ///< a report came during the last query
  FormerPrimary former;          ///< whom this run replaces
  MemberStatus former_status;    ///< its answer as a replica
  bool demote_tried = false;
  Time demoted_at;
  bool leases_ended = false;
  Time leases_asked;  ///< when the end of the leases was asked for
  /// The primary did not answer: pause the others below this term next.
  std::optional<Term> pause_below;
  Term paused_below;  ///< asked for by the last pause
  /// Lower pauses have no effect: the platform has seen a higher term than the
  /// endpoints that are left.
  Term lowest_pause;
  EndpointId chosen;      ///< of the last order
  Floor chosen_received;  ///< by `chosen`, when it was ordered to lead
  Time order_sent;
  bool awaits_effect = false;  ///< of the last order
  enum class After : uint8_t { kAskStatus, kPoll, kFinish };
  After after_wait = After::kAskStatus;
};

ReplacementActions StartReplacement(Replacement* run, Time now);
ReplacementActions OnStatus(Replacement* run,
                            const std::vector<MemberStatus>& answers, Time now);
ReplacementActions OnDemoted(Replacement* run, const MemberStatus& answer,
                             Time now);
ReplacementActions OnLeasesEnded(Replacement* run, Time now);
/// `answers` holds all endpoints that were asked; the former primary is not.
ReplacementActions OnPaused(Replacement* run, std::vector<MemberStatus> answers,
                            Time now);
ReplacementActions OnOrderAnswered(Replacement* run, uint64_t fence_token,
                                   PromoteOutcome outcome, Time now);
ReplacementActions OnPolled(Replacement* run, const MemberStatus& answer,
                            Time now);
ReplacementActions OnTimer(Replacement* run, Time now);

/// Whether the endpoint that was ordered to lead may lack acknowledged commits:
/// whoever has them is given up.
bool MayLackCommits(const Replacement& run);

/// Takes a relay's report on the primary into account: a check for another
/// reason may then replace it, too.
void Suspect(Replacement* run, PrimaryReplacementCause cause);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_REPLACEMENT_REPLACEMENT_STEPS_H_
