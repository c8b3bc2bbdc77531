/// The configuration document of one environment, as plain structs.
///
/// Operators write it as TOML; the `operators` package parses and validates it.
/// The same bytes are used in test and in production environments, so a
/// document does not name its environment.
#ifndef CARDAMOMCHUTE_POLICY_DOCUMENTS_DOCUMENT_H_
#define CARDAMOMCHUTE_POLICY_DOCUMENTS_DOCUMENT_H_

#include <optional>
#include <string>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// A priority class. A document lists its ranks from most to least urgent.
struct RankSpec {
  RankName name;
  Duration target;                ///< from the request to the complete response
  uint32_t worth = 1;             ///< value of a statement answered on time
  double guaranteed_share = 0.0;  ///< 0..1 of the slots, also under overload
  uint32_t queue_limit = 1000;    ///< most statements queued per group

  friend bool operator==(const RankSpec&, const RankSpec&) = default;
};

/// The point at which a write may be acknowledged.
enum class AckMode {
  kPrimary,    ///< once the primary has committed it
  kReplicated  ///< once a replica has also received it
};

struct GroupSpec {
  GroupId id;
  std::string database;       ///< database name for callers and endpoints
  std::string user;           ///< user name for connections to endpoints
  uint32_t connections = 36;  ///< to all endpoints of the group together
  uint32_t slots = 2;         ///< concurrent statements per endpoint
  AckMode ack = AckMode::kReplicated;

  friend bool operator==(const GroupSpec&, const GroupSpec&) = default;
};

/// Grants users and applications access to groups at a rank. The first
/// matching entry applies; "*" matches everything.
struct AccessSpec {
  std::vector<std::string> users;
  std::vector<std::string> applications;
  std::vector<GroupId> groups;
  RankName rank;
  Duration max_staleness;  ///< zero: exact; negative: unlimited
  bool writes = true;

  friend bool operator==(const AccessSpec&, const AccessSpec&) = default;
};

struct LimitSpec {
  uint32_t callers_per_vm = 10000;
  Duration idle_in_transaction = Seconds(10);
  Duration statement_timeout = Seconds(30);

  friend bool operator==(const LimitSpec&, const LimitSpec&) = default;
};

struct Document {
  std::string title;
  LimitSpec limits;
  std::vector<RankSpec> ranks;
  std::vector<GroupSpec> groups;
  std::vector<AccessSpec> access;

  friend bool operator==(const Document&, const Document&) = default;
};

/// The rights of a caller's connection.
struct Grant {
  GroupId group;
  Rank rank;
  Duration max_staleness;
  bool writes = true;
};

/// The identity from a caller's startup packet.
struct Caller {
  std::string user;
  std::string database;
  std::string application;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_DOCUMENTS_DOCUMENT_H_
