/// Messages from a relay to the VM that holds the connections to an endpoint.
#ifndef CARDAMOMCHUTE_RELAY_RUN_H_
#define CARDAMOMCHUTE_RELAY_RUN_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cardamomchute/policy/admission/rate_limit.h"
#include "cardamomchute/policy/quorum/quorum_pack.h"
#include "cardamomchute/relay/statement.h"

namespace cardamomchute {

/// A statement's position in its transaction.
enum class RunStep : uint8_t {
  kSingle,  ///< its own transaction
  kFirst,   ///< opens a transaction and pins its connection
  kNext,
  kCommit
};

/// Returns true if the statement belongs to a transaction that is already open.
inline bool InTransaction(RunStep step) {
  return step == RunStep::kNext || step == RunStep::kCommit;
}

/// The link on which another relay's requests arrive; number 0 stands for this
/// VM's own callers. A number is used once in a process: session and
/// transaction ids restart with the relay that issues them, the link does not.
struct RelayLink {
  VmId relay;
  uint64_t number = 0;
  friend auto operator<=>(const RelayLink&, const RelayLink&) = default;
};

/// A statement to run on an endpoint.
struct RunRequest {
  uint64_t number = 0;   ///< request id, unique per link
  uint64_t session = 0;  ///< caller's session id, unique per relay process
  uint64_t run = 0;      ///< caller's transaction id, unique per relay process
  EndpointId endpoint;
  GroupId group;
  Address address;
  RunStep step = RunStep::kSingle;
  bool writes = false;
  bool read_only = false;  ///< kFirst: a read-only transaction
  /// Must run on the group's primary.
  bool at_primary = false;
  /// Highest log position of the session's own commits.
  Floor floor;
  /// Commits older than this must be visible; ignored if `at_primary`.
  Duration max_staleness;
  Rank rank;
  Duration target;   ///< intended total latency
  Duration hold;     ///< maximum time in the queue
  Duration timeout;  ///< maximum total time
  std::map<std::string, std::string> values;
  std::optional<PreparedStatement> prepared;
  std::string id;
  std::string text;
  /// Whose statement it is; empty if callers need no key.
  OrganisationName organisation;

  MSGPACK_DEFINE(number, session, run, endpoint, group, address, step, writes,
                 read_only, at_primary, floor, max_staleness, rank, target,
                 hold, timeout, values, prepared, id, text, organisation)
};

struct RunAnswer {
  uint64_t number = 0;
  StatementStatus outcome = StatementStatus::kUnknown;
  std::vector<std::string> rows;
  std::string signature;
  std::string detail;
  std::optional<Floor> at;   ///< the endpoint's log position afterwards
  bool transaction = false;  ///< the transaction is still open
  uint64_t waiting = 0;      ///< statements queued or running there
  Duration expected_wait;    ///< of a statement that arrives at the holder now
  Duration service;          ///< time at the endpoint; 0: it was not sent
  /// Time that statements take at the endpoint, in percent of their usual
  /// time; 0: the endpoint's holder did not answer.
  uint64_t slowdown_percent = 0;

  MSGPACK_DEFINE(number, outcome, rows, signature, detail, at, transaction,
                 waiting, expected_wait, service, slowdown_percent)
};

/// The caller's transaction ended without a commit.
struct AbandonRun {
  uint64_t session = 0;
  uint64_t run = 0;
  EndpointId endpoint;
  MSGPACK_DEFINE(session, run, endpoint)
};

/// Requests a log position of a group's primary that contains every commit
/// acknowledged before the request.
struct FloorQuestion {
  uint64_t number = 0;
  EndpointId endpoint;
  GroupId group;
  Address address;
  MSGPACK_DEFINE(number, endpoint, group, address)
};

struct FloorAnswer {
  uint64_t number = 0;
  std::optional<Floor> at;
  Duration age;  ///< how long before the request it was read
  MSGPACK_DEFINE(number, at, age)
};

/// Liveness check; answered immediately.
struct Ping {
  bool answer = false;
  MSGPACK_DEFINE(answer)
};

/// First message on a link between relays.
struct RelayHello {
  VmId vm;
  MSGPACK_DEFINE(vm)
};

/// From a control member: addresses at which control can be reached. After a
/// restart a relay knows only its seeds, and these may come back last.
struct ControlHint {
  std::vector<Address> members;
  MSGPACK_DEFINE(members)
};

/// Asks the keeper of a share of an organisation's rate limit for tokens.
struct TokenQuestion {
  uint64_t number = 0;
  OrganisationName organisation;
  uint32_t share = 0;
  uint64_t waiting = 0;  ///< for operations that wait
  uint64_t ahead = 0;    ///< for operations that are expected
  uint64_t map_version = 0;
  MSGPACK_DEFINE(number, organisation, share, waiting, ahead, map_version)
};

struct TokenAnswer {
  uint64_t number = 0;
  uint64_t granted = 0;
  Duration retry_after;  ///< until the next token
  bool not_keeper = false;

  TokenGrant grant() const { return {granted, retry_after, not_keeper}; }
  MSGPACK_DEFINE(number, granted, retry_after, not_keeper)
};

using RelayMessage =
    std::variant<RelayHello, RunRequest, RunAnswer, AbandonRun, FloorQuestion,
                 FloorAnswer, Ping, ControlHint, TokenQuestion, TokenAnswer>;

/// Returns whether the statement's success tells its caller that writes are
/// committed. `wrote`: its transaction may contain writes.
bool CommitsWrites(const RunRequest& request, bool wrote);

/// Returns the outcome to report for a statement whose answer is lost. Relies
/// on the endpoint rolling back an uncommitted transaction when its connection
/// closes. `sent`: the statement may have reached the endpoint. `wrote`: its
/// transaction may contain writes. `plain`: outcome of a single read.
StatementStatus WithoutAnswer(const RunRequest& request, bool sent, bool wrote,
                              StatementStatus plain);

using RunDone = std::function<void(RunAnswer)>;

}  // namespace cardamomchute

MSGPACK_ADD_ENUM(cardamomchute::RunStep);

#endif  // CARDAMOMCHUTE_RELAY_RUN_H_
