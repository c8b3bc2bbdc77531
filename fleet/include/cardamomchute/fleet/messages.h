/// Messages between relays and control members, and those between control
/// members that are not part of the quorum protocol. Each is one kControl
/// frame.
#ifndef CARDAMOMCHUTE_FLEET_MESSAGES_H_
#define CARDAMOMCHUTE_FLEET_MESSAGES_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cardamomchute/policy/documents/text_delta.h"
#include "cardamomchute/policy/lease/limit_keepers.h"
#include "cardamomchute/policy/quorum/quorum_pack.h"
#include "cardamomchute/policy/routing/directory.h"
#include "cardamomchute/relay/endpoint_pool.h"

namespace cardamomchute {

/// A relay's report on itself: the first message on its link, repeated
/// periodically.
struct RelayReport {
  RelayRecord relay;
  uint64_t layout_version = 0;  ///< version the relay routes by
  /// Takes compressed messages and layout changes, and confirms each layout;
  /// older releases do not.
  bool takes_changes = false;
  MSGPACK_DEFINE(relay, layout_version, takes_changes)
};

/// A problem with an endpoint. A relay sends it to its control member, which
/// forwards it to the leader.
struct TroubleReport {
  GroupId group;
  EndpointId endpoint;
  EndpointProblem trouble = EndpointProblem::kSilent;
  VmId observer;
  MSGPACK_DEFINE(group, endpoint, trouble, observer)
};

/// An accepted layout; `text` holds the bytes that were submitted.
struct StoredLayout {
  uint64_t version = 0;
  std::string text;
  MSGPACK_DEFINE(version, text)
};

/// An accepted layout as a difference from an earlier one. Relays have narrow
/// links, and versions may follow each other quickly.
struct LayoutChange {
  uint64_t from_version = 0;
  uint64_t version = 0;
  TextDelta text;
  MSGPACK_DEFINE(from_version, version, text)
};

/// A change of the directory, for relays and other control members.
struct DirectoryPush {
  DirectoryDelta delta;
  std::optional<StoredLayout> layout;
  std::vector<Address> members;  ///< addresses of the control members
  /// Instead of `layout`, for relays that hold its `from_version`.
  std::optional<LayoutChange> layout_change;
  MSGPACK_DEFINE(delta, layout, members, layout_change)
};

/// The sender has lost contact with the quorum; the relay must connect to
/// another of `members`.
struct Farewell {
  std::vector<Address> members;
  MSGPACK_DEFINE(members)
};

/// A relay requests leases on the primaries of `groups`.
struct PrimaryLeaseRequest {
  uint64_t number = 0;
  std::vector<GroupId> groups;
  /// Gives leases back on a LeaseRevocation; older releases do not know it.
  bool takes_revocations = false;
  MSGPACK_DEFINE(number, groups, takes_revocations)
};

/// Answers a PrimaryLeaseRequest: leases on `primaries`, for `valid` from when
/// the request was sent. Groups whose primary is in doubt are left out.
struct PrimaryLeaseGrant {
  uint64_t number = 0;
  Duration valid;
  std::map<GroupId, EndpointId> primaries;
  /// Terms of `primaries`; empty from older releases.
  std::map<GroupId, Term> terms;
  MSGPACK_DEFINE(number, valid, primaries, terms)
};

/// A control member requests the leases that it may grant from the leader.
struct GrantableRequest {
  VmId from;
  uint64_t number = 0;
  /// As in PrimaryLeaseRequest.
  bool takes_revocations = false;
  MSGPACK_DEFINE(from, number, takes_revocations)
};

/// Answers a GrantableRequest as PrimaryLeaseGrant does, for all groups.
struct GrantableAnswer {
  PrimaryLeaseGrant grant;
  MSGPACK_DEFINE(grant)
};

/// Takes back the leases on the group's primary: from the leader to a control
/// member, and from that to its relays. The receiver confirms it once neither
/// it nor anybody it granted leases to can use them.
struct LeaseRevocation {
  GroupId group;
  uint64_t number = 0;
  MSGPACK_DEFINE(group, number)
};

/// Confirms a LeaseRevocation.
struct LeaseRevoked {
  GroupId group;
  uint64_t number = 0;
  VmId from;
  MSGPACK_DEFINE(group, number, from)
};

/// Asks for the authority over keys: a relay a control member, and that one the
/// leader.
struct AuthorityRequest {
  uint64_t number = 0;
  uint64_t layout_version = 0;  ///< version the relay routes by
  uint64_t keeper_version = 0;  ///< version of the map of keepers it holds
  VmId member;                  ///< empty: a relay asks
  MSGPACK_DEFINE(number, layout_version, keeper_version, member)
};

/// Answers an AuthorityRequest: the keys of layout
/// `layout_version` and of later ones may be used for `valid` from when the
/// request was sent.
struct AuthorityGrant {
  uint64_t number = 0;
  Duration valid;
  uint64_t layout_version = 0;
  /// Version of the map of keepers of rate limits that may be used as long;
  /// 0: there is none.
  uint64_t keeper_version = 0;
  std::optional<KeeperMap> keeper_map;  ///< unless the asker holds it
  MSGPACK_DEFINE(number, valid, layout_version, keeper_version, keeper_map)
};

/// A packed FleetMessage of another kind, compressed.
struct CompressedMessage {
  std::string bytes;
  MSGPACK_DEFINE(bytes)
};

using FleetMessage =
    std::variant<RelayReport, TroubleReport, DirectoryPush, Farewell,
                 PrimaryLeaseRequest, PrimaryLeaseGrant, GrantableRequest,
                 GrantableAnswer, CompressedMessage, LeaseRevocation,
                 LeaseRevoked, AuthorityRequest, AuthorityGrant>;

std::string PackFleetMessage(const FleetMessage& message);

/// Packs a message for a relay, whose link is narrow: compressed if it is long.
std::string PackForRelay(const FleetMessage& message);

/// Unpacks a message that may be compressed.
Result<FleetMessage> UnpackFleetMessage(std::string_view body);

}  // namespace cardamomchute

MSGPACK_ADD_ENUM(cardamomchute::EndpointProblem);

#endif  // CARDAMOMCHUTE_FLEET_MESSAGES_H_
