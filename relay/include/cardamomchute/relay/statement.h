/// Callers' statements and their results, independent of the protocol.
#ifndef CARDAMOMCHUTE_RELAY_STATEMENT_H_
#define CARDAMOMCHUTE_RELAY_STATEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/pack.h"
#include "cardamomchute/policy/documents/layout.h"

namespace cardamomchute {

enum class CallerVerb : uint8_t {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSet,
  kPrepare,
  kExecute,
  kDeallocate,
  kMalformed
};

/// Returns whether a statement of this kind begins or continues work at an
/// endpoint.
bool ReachesEndpoint(CallerVerb kind);

struct CallerStatement {
  CallerVerb kind = CallerVerb::kMalformed;
  std::string id;    ///< forwarded unchanged
  std::string text;  ///< forwarded; a prepared statement's name is replaced
  std::string name;  ///< of a session value or a prepared statement
  /// kSet: the value; kPrepare: the shape; kExecute: the arguments.
  std::string rest;
  bool prepares_write = false;  ///< kPrepare only
};

/// A caller's first message.
struct CallerHello {
  DatabaseName database;
  CallerKey key;  ///< empty if the caller gave none
};

struct CallerQuit {};

using CallerMessage = std::variant<CallerHello, CallerStatement, CallerQuit>;

/// Outcome of a statement.
enum class StatementStatus : uint8_t {
  kDone,
  // The attempt had no effect:
  kBusy,                ///< no capacity at present
  kAborted,             ///< its transaction was rolled back
  kLagging,             ///< the endpoint has not reached the required position
  kReadOnly,            ///< the endpoint is not the primary
  kMisrouted,           ///< another endpoint uses that address
  kTooManyConnections,  ///< the endpoint's connection limit is reached
  kUnknownPreparedStatement,  ///< the endpoint does not know the prepared
                              ///< statement
  kMalformed,                 ///< invalid, or not allowed in this state
  kNoDatabase,                ///< no route for that database
  kUnreachable,               ///< nothing could be sent
  // The attempt may have had an effect:
  kFailed,
  kTimeout,
  kUnknown,  ///< the answer was lost
  // The attempt had no effect; last, as the numbers are sent to other VMs:
  kUnauthorized  ///< the caller's key is not known
};

/// Returns true if the outcome rules out that the endpoint ran the statement.
bool NotExecuted(StatementStatus outcome);
std::string_view ToString(StatementStatus outcome);

enum class TransactionState : uint8_t { kNone, kOpen, kFailed };

struct StatementResult {
  StatementStatus outcome = StatementStatus::kUnknown;
  std::vector<std::string> rows;
  std::string signature;  ///< from the endpoint, if kDone
  std::string detail;     ///< error message, one line
};

/// A prepared statement under a name shared by all sessions.
struct PreparedStatement {
  std::string shared_name;
  std::string shape;
  bool writes = false;
  MSGPACK_DEFINE(shared_name, shape, writes)
};

/// Returns the name under which sessions share a prepared statement: a hash of
/// its shape, with a prefix for reads or writes.
std::string StatementSharedName(const std::string& shape, bool writes);

}  // namespace cardamomchute

MSGPACK_ADD_ENUM(cardamomchute::StatementStatus);
MSGPACK_ADD_ENUM(cardamomchute::TransactionState);

#endif  // CARDAMOMCHUTE_RELAY_STATEMENT_H_
