/// Decides how to replace a group's primary, from the status of its endpoints.
/// Pure functions without I/O.
///
/// A primary acknowledges a commit only after a replica has received it. A
/// reachable primary is demoted first: from then on nothing is acknowledged,
/// and a successor is complete if it has received the whole of its log. For a
/// primary that cannot be reached, all known replicas are paused (refuse to
/// receive); then the one with the highest received position holds every commit
/// that a known replica has acknowledged, regardless of network partitions.
#ifndef CARDAMOMCHUTE_POLICY_REPLACEMENT_PRIMARY_REPLACEMENT_H_
#define CARDAMOMCHUTE_POLICY_REPLACEMENT_PRIMARY_REPLACEMENT_H_

#include <optional>
#include <string_view>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/policy/routing/directory.h"

namespace cardamomchute {

/// Status of one endpoint; only `endpoint` is valid unless `answered`.
struct MemberStatus {
  EndpointRecord endpoint;
  bool answered = false;
  bool is_primary = false;
  Term term;
  Floor received;
  Term paused_below;
  Duration lag;  ///< delay from receiving data until its reads see it
};

/// Reason for checking a group's primary.
enum class PrimaryReplacementCause : uint8_t {
  kReview,   ///< announcements contradict each other
  kConfirm,  ///< a new control leader does not know whether it is the only one
  kTrouble,  ///< a relay cannot reach the primary
  kStalled,  ///< the primary responds, but no write completes
  kLeaving,  ///< the primary is about to shut down
  kLagging   ///< no replica is fresh enough for reads
};

std::string_view ToString(PrimaryReplacementCause cause);

/// Whether the cause is a reason to replace a primary that does not answer.
bool SuspectsPrimary(PrimaryReplacementCause cause);

/// Returns how long replicas get to receive the rest of a demoted primary's
/// log.
Duration LogEndWait(PrimaryReplacementCause cause);

/// What a control leader knows when it checks a group's primary.
struct PrimaryCheck {
  EndpointId primary;  ///< empty if unknown
  PrimaryReplacementCause cause = PrimaryReplacementCause::kReview;
  /// kLagging: a replica with a higher lag can serve almost no reads.
  Duration lag_bound;
  /// An order that would replace the primary found may still take effect.
  bool order_outstanding = false;
  /// The leader confirmed the primary earlier and has sent no order since, so
  /// that replicas which are paused may be resumed.
  bool confirmed = false;
};

enum class ReplacementStep : uint8_t {
  kKeep,     ///< no change is needed
  kAdopt,    ///< `endpoint` is already primary; record it
  kPause,    ///< pause all endpoints but the primary below `term`
  kPromote,  ///< `endpoint` may be promoted
  kWait      ///< an endpoint that may hold commits has not answered
};

/// The primary that is being replaced.
struct FormerPrimary {
  EndpointId endpoint;
  /// End of its log, known once it has been demoted.
  std::optional<Floor> log_end;
  /// Whether to wait for a replica that has received the log up to `log_end`.
  bool wait_for_log_end = false;
  /// It is a member of its group still: it may return with its log.
  bool may_return = false;
  /// Highest position that a replica is known to have received.
  Floor seen;
  /// A replica was lost that may have had the only copy beside this log.
  bool copy_lost = false;
};

struct ReplacementDecision {
  ReplacementStep step = ReplacementStep::kKeep;
  EndpointId endpoint;
  Term term;
};

/// Returns the endpoint that reports to be primary with the highest term.
std::optional<MemberStatus> FindHighestTermPrimary(
    const std::vector<MemberStatus>& all);

/// Returns the highest term in `all`; a pause must be for a higher term.
Term HighestTerm(const std::vector<MemberStatus>& all);

/// Returns the next step of replacing `former`. Its own status counts only once
/// it has been demoted: if nobody else has its whole log and it is not leaving,
/// it becomes primary again. `all` holds the status of every endpoint, `former`
/// included. While its log is out of reach and may return, nobody is promoted
/// who may lack what a replica had received.
ReplacementDecision NextReplacementStep(const std::vector<MemberStatus>& all,
                                        const FormerPrimary& former);

/// Whether any endpoint refuses to receive from the primary of the highest
/// term, so that a request to promote may be outstanding.
bool AnyPaused(const std::vector<MemberStatus>& all);

/// Whether the answers show that `primary` is its group's only primary, and
/// that no request to promote another endpoint is outstanding: the replicas are
/// paused before any such request.
bool ConfirmsPrimary(const std::vector<MemberStatus>& all,
                     const EndpointId& primary);

/// Whether the primary of the highest term stays.
bool ShouldKeepPrimary(const std::vector<MemberStatus>& all,
                       const PrimaryCheck& check);

/// Whether the primary should be replaced because no replica is fresh enough
/// for reads: every replica that is not leaving lags more than `bound`, and one
/// of them has received nearly everything. The former primary has no lag and
/// can then serve reads as a replica.
bool ShouldReplaceForLag(const std::vector<MemberStatus>& all,
                         const EndpointId& primary, Duration bound);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_REPLACEMENT_PRIMARY_REPLACEMENT_H_
