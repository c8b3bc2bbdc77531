/// Messages between relays and control members, and between control members
/// beside the quorum's own. Each travels as one kControl frame.
#ifndef CARDAMOMCHUTE_FLEET_MESSAGES_H_
#define CARDAMOMCHUTE_FLEET_MESSAGES_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cardamomchute/policy/directory.h"
#include "cardamomchute/policy/quorum_pack.h"
#include "cardamomchute/relay/endpoint_pool.h"

namespace cardamomchute {

/// A relay of itself: first on its link, and again at intervals.
struct RelayReport {
  RelayRecord relay;
  uint64_t layout_version = 0;  ///< what it serves under
  MSGPACK_DEFINE(relay, layout_version)
};

/// A relay, or the control member it reports to, of an endpoint.
struct TroubleReport {
  GroupId group;
  EndpointId endpoint;
  EndpointProblem trouble = EndpointProblem::kSilent;
  VmId observer;
  MSGPACK_DEFINE(group, endpoint, trouble, observer)
};

/// An accepted layout, as the bytes that were submitted.
struct StoredLayout {
  uint64_t version = 0;
  std::string text;
  MSGPACK_DEFINE(version, text)
};

/// What changed, for relays and other control members.
struct DirectoryPush {
  DirectoryDelta delta;
  std::optional<StoredLayout> layout;
  std::vector<Address> members;  ///< the control members
  MSGPACK_DEFINE(delta, layout, members)
};

/// This control member has lost touch; another one knows more.
struct Farewell {
  std::vector<Address> members;
  MSGPACK_DEFINE(members)
};

using FleetMessage =
    std::variant<RelayReport, TroubleReport, DirectoryPush, Farewell>;

}  // namespace cardamomchute

MSGPACK_ADD_ENUM(cardamomchute::EndpointProblem);

#endif  // CARDAMOMCHUTE_FLEET_MESSAGES_H_
