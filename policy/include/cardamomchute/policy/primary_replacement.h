/// Who follows a primary: pure rules over what the endpoints of a group say.
///
/// An endpoint whose replicas all refuse to receive acknowledges nothing more.
/// Once every other endpoint has been paused, the one that received most holds
/// every acknowledged commit, whoever can or cannot reach whom.
#ifndef CARDAMOMCHUTE_POLICY_PRIMARY_REPLACEMENT_H_
#define CARDAMOMCHUTE_POLICY_PRIMARY_REPLACEMENT_H_

#include <optional>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/policy/directory.h"

namespace cardamomchute {

/// What one endpoint answered, if it did.
struct MemberStatus {
  EndpointRecord endpoint;
  bool answered = false;
  bool is_primary = false;
  Term term;
  Floor received;
  Term paused_below;
  Duration lag;  ///< how far what its reads see is behind what it received
};

enum class ReplacementStep : uint8_t {
  kKeep,     ///< the lead is as it should be
  kAdopt,    ///< `endpoint` leads already; make that known
  kPause,    ///< have every endpoint but the lead refuse what is below `term`
  kPromote,  ///< `endpoint` may take over
  kWait      ///< some endpoint that may hold commits did not answer
};

struct ReplacementDecision {
  ReplacementStep step = ReplacementStep::kKeep;
  EndpointId endpoint;
  Term term;
};

/// The endpoint that leads the highest term, if any answer says so.
std::optional<MemberStatus> FindHighestTermPrimary(
    const std::vector<MemberStatus>& all);

/// The term that pauses must be above.
Term HighestTerm(const std::vector<MemberStatus>& all);

/// The next step once the lead is to be replaced, whatever it says itself.
/// `all` are the answers of every endpoint of the group, `lead` included.
ReplacementDecision NextReplacementStep(const std::vector<MemberStatus>& all,
                                        const EndpointId& lead);

/// Whether another lead would give the group back a replica that serves reads:
/// all replicas lag beyond `bound`, which a former lead does not, and one that
/// stays has received what the lead has.
bool ShouldReplaceForLag(const std::vector<MemberStatus>& all,
                         const EndpointId& lead, Duration bound);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_PRIMARY_REPLACEMENT_H_
