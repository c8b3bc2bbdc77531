/// Operator requests to the control members, and their responses.
#ifndef CARDAMOMCHUTE_POLICY_SESSIONS_OPERATIONS_H_
#define CARDAMOMCHUTE_POLICY_SESSIONS_OPERATIONS_H_

#include <functional>
#include <string>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/policy/quorum/view.h"

namespace cardamomchute {

/// A new document for an environment. Accepted only if `replaces` is the
/// current version (0: no document yet). Idempotent: a repeated id gets the
/// original response.
struct Submission {
  Environment environment;
  Version replaces;
  SubmissionId id;
  std::string submitter;  ///< recorded in the history
  std::string text;
};

/// Copies the current document of `from` to `to`, byte for byte.
struct Promotion {
  Environment from;
  Environment to;
  Version from_version;  ///< must still be current in `from`
  Version replaces;      ///< current version of `to`
  SubmissionId id;
  std::string submitter;
};

struct SubmitOutcome {
  Version version;
  std::string hash;       ///< hex SHA-256 of the accepted bytes
  bool repeated = false;  ///< response to an earlier submission of this id
};

/// An accepted version in the history.
struct DocumentRecord {
  Version version;
  std::string hash;
  std::string submitter;
  std::string origin;  ///< "submit", or "promote ENVIRONMENT VERSION"
  std::string text;
};

struct ControlMemberStatus {
  VmId id;
  bool leader = false;
  bool reachable = false;
  uint64_t applied_index = 0;
};

/// A condition that needs operator action, with a suggested remedy.
struct Problem {
  std::string what;
  std::string remedy;
};

struct StatusReport {
  std::vector<ControlMemberStatus> members;
  uint64_t quorum_term = 0;
  ClusterView view;
  std::vector<Problem> problems;
};

/// Operator access to the control state. Each callback runs exactly once, on
/// the control thread. A kConflict error names the version that is current.
struct OperatorApi {
  std::function<void(Submission, std::function<void(Result<SubmitOutcome>)>)>
      submit;
  std::function<void(Promotion, std::function<void(Result<SubmitOutcome>)>)>
      promote;
  std::function<void(Environment,
                     std::function<void(Result<std::vector<DocumentRecord>>)>)>
      history;
  std::function<void(Environment, std::function<void(Result<StatusReport>)>)>
      status;
};

/// Limits of the time to live of an announcement.
inline constexpr Duration kMinAnnouncementTtl = Millis(200);
inline constexpr Duration kMaxAnnouncementTtl = Seconds(60);

/// An endpoint's registration over HTTP, to be renewed before the TTL expires.
struct Announcement {
  EndpointState endpoint;
  Duration ttl;
};

using AnnounceSink = std::function<void(Announcement)>;

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_SESSIONS_OPERATIONS_H_
