/// What a relay asks of the VM that holds an endpoint's connections.
#ifndef CARDAMOMCHUTE_RELAY_RUN_H_
#define CARDAMOMCHUTE_RELAY_RUN_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "cardamomchute/policy/quorum_pack.h"
#include "cardamomchute/relay/statement.h"

namespace cardamomchute {

/// Where a statement stands in its transaction.
enum class RunStep : uint8_t {
  kSingle,  ///< a transaction of its own
  kFirst,   ///< opens one, and keeps the connection
  kNext,
  kCommit
};

/// Whether the statement belongs to a transaction that is open already.
inline bool InTransaction(RunStep step) {
  return step == RunStep::kNext || step == RunStep::kCommit;
}

/// A statement on its way to an endpoint.
struct RunRequest {
  uint64_t number = 0;   ///< of this request, on its link
  uint64_t session = 0;  ///< of the caller, at its relay
  uint64_t run = 0;      ///< of the caller's transaction, at its relay
  EndpointId endpoint;
  GroupId group;
  Address address;
  RunStep step = RunStep::kSingle;
  bool writes = false;
  bool read_only = false;  ///< kFirst: the caller will only read
  /// It must run at the group's leader, whatever its log holds.
  bool at_primary = false;
  /// The session's own commits reach up to here.
  Floor floor;
  /// All that is older must be seen; used unless `at_primary`.
  Duration max_staleness;
  Rank rank;
  Duration target;   ///< what ends within this is in time
  Duration hold;     ///< may wait this long before it is sent
  Duration timeout;  ///< may take this long in all
  std::map<std::string, std::string> values;
  std::optional<PreparedStatement> prepared;
  std::string id;
  std::string text;

  MSGPACK_DEFINE(number, session, run, endpoint, group, address, step, writes,
                 read_only, at_primary, floor, max_staleness, rank, target,
                 hold, timeout, values, prepared, id, text)
};

struct RunAnswer {
  uint64_t number = 0;
  StatementStatus outcome = StatementStatus::kUnknown;
  std::vector<std::string> rows;
  std::string signature;
  std::string detail;
  std::optional<Floor> at;   ///< the endpoint's position afterwards
  bool transaction = false;  ///< the transaction is still open
  uint64_t waiting = 0;      ///< statements that wait for this endpoint

  MSGPACK_DEFINE(number, outcome, rows, signature, detail, at, transaction,
                 waiting)
};

/// The caller's transaction is over without a commit.
struct AbandonRun {
  uint64_t session = 0;
  uint64_t run = 0;
  EndpointId endpoint;
  MSGPACK_DEFINE(session, run, endpoint)
};

/// Asks the holder of a group's leader for a position that holds every commit
/// acknowledged before the question.
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
  Duration age;  ///< how long before the question it was asked for
  MSGPACK_DEFINE(number, at, age)
};

/// Asks whether the other end is alive; answered at once.
struct Ping {
  bool answer = false;
  MSGPACK_DEFINE(answer)
};

/// First on a link between relays.
struct RelayHello {
  VmId vm;
  MSGPACK_DEFINE(vm)
};

using RelayMessage = std::variant<RelayHello, RunRequest, RunAnswer, AbandonRun,
                                  FloorQuestion, FloorAnswer, Ping>;

/// What may be told when the answer will not come. A transaction that was not
/// told to commit is rolled back when its connection closes.
/// `sent`: the statement may have reached the endpoint. `wrote`: its
/// transaction may hold writes. `plain`: for reads of their own.
StatementStatus WithoutAnswer(const RunRequest& request, bool sent, bool wrote,
                              StatementStatus plain);

using RunDone = std::function<void(RunAnswer)>;

}  // namespace cardamomchute

MSGPACK_ADD_ENUM(cardamomchute::RunStep);

#endif  // CARDAMOMCHUTE_RELAY_RUN_H_
