/// What operators may ask of the control members, and what they get back.
#ifndef CARDAMOMCHUTE_POLICY_OPERATIONS_H_
#define CARDAMOMCHUTE_POLICY_OPERATIONS_H_

#include <functional>
#include <string>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/policy/view.h"

namespace cardamomchute {

/// A new document for an environment. Accepted only while `replaces` is the
/// current version (0: there is none yet). The same id gets the same answer
/// again, however often it is sent.
struct Submission {
  Environment environment;
  Version replaces;
  SubmissionId id;
  std::string submitter;  ///< who, for the history
  std::string text;
};

/// Carries the bytes that run in `from` over to `to`.
struct Promotion {
  Environment from;
  Environment to;
  Version from_version;  ///< must still be current in `from`
  Version replaces;      ///< as in Submission, of `to`
  SubmissionId id;
  std::string submitter;
};

struct SubmitOutcome {
  Version version;
  std::string hash;       ///< hex SHA-256 of the accepted bytes
  bool repeated = false;  ///< the answer to an earlier sending of the same id
};

/// One accepted version, for the history.
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

/// Something that needs a person, with its remedy.
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

/// The control state as operators reach it; every `done` runs once, on the
/// control thread. kConflict names the version that won.
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

/// Bounds of an announcement's time to live.
inline constexpr Duration kMinAnnouncementTtl = Millis(200);
inline constexpr Duration kMaxAnnouncementTtl = Seconds(60);

/// What an endpoint says of itself over HTTP, again within every TTL.
struct Announcement {
  EndpointState endpoint;
  Duration ttl;
};

using AnnounceSink = std::function<void(Announcement)>;

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_OPERATIONS_H_
