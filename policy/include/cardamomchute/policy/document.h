/// What operators state about one environment, as plain structs.
///
/// The text is TOML; `operators` reads and checks it. The same bytes run in
/// trial and in production, so a document names no environment.
#ifndef CARDAMOMCHUTE_POLICY_DOCUMENT_H_
#define CARDAMOMCHUTE_POLICY_DOCUMENT_H_

#include <optional>
#include <string>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// One kind of work; a document lists them from most to least urgent.
struct RankSpec {
  RankName name;
  Duration target;                ///< time from request to whole answer
  uint32_t worth = 1;             ///< what a statement in time is worth
  double guaranteed_share = 0.0;  ///< 0..1 of the slots, also in a flood
  uint32_t queue_limit = 1000;    ///< statements waiting for one group

  friend bool operator==(const RankSpec&, const RankSpec&) = default;
};

/// When a write may be acknowledged.
enum class AckMode {
  kPrimary,    ///< once the primary has committed it
  kReplicated  ///< once a replica has received it too
};

struct GroupSpec {
  GroupId id;
  std::string database;       ///< what callers and endpoints call it
  std::string user;           ///< the name used towards the endpoints
  uint32_t connections = 36;  ///< to all members together
  uint32_t slots = 2;         ///< statements at one member at a time
  AckMode ack = AckMode::kReplicated;

  friend bool operator==(const GroupSpec&, const GroupSpec&) = default;
};

/// Who may reach which groups, and as what work. The first match counts;
/// "*" matches all.
struct AccessSpec {
  std::vector<std::string> users;
  std::vector<std::string> applications;
  std::vector<GroupId> groups;
  RankName rank;
  Duration max_staleness;  ///< as in channel.h: zero exact, negative any age
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

/// What a caller's connection may do.
struct Grant {
  GroupId group;
  Rank rank;
  Duration max_staleness;
  bool writes = true;
};

/// How a connection introduces itself.
struct Caller {
  std::string user;
  std::string database;
  std::string application;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_DOCUMENT_H_
