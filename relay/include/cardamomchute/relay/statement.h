/// Statements of callers and their results, whatever protocol carries them.
#ifndef CARDAMOMCHUTE_RELAY_STATEMENT_H_
#define CARDAMOMCHUTE_RELAY_STATEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/pack.h"
#include "cardamomchute/policy/layout.h"

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

struct CallerStatement {
  CallerVerb kind = CallerVerb::kMalformed;
  std::string id;    ///< goes on to the endpoint unchanged
  std::string text;  ///< likewise, but for the name of a prepared statement
  std::string name;  ///< of a value or a prepared statement
  /// kSet: the value; kPrepare: the shape; kExecute: the arguments.
  std::string rest;
  bool prepares_write = false;  ///< kPrepare only
};

/// A caller's first message.
struct CallerHello {
  DatabaseName database;
};

struct CallerQuit {};

using CallerMessage = std::variant<CallerHello, CallerStatement, CallerQuit>;

/// How a statement ended.
enum class StatementStatus : uint8_t {
  kDone,
  // Nothing of the caller's attempt is kept:
  kBusy,                ///< no place for it now
  kAborted,             ///< its transaction was rolled back
  kLagging,             ///< the endpoint lacks a position that was asked for
  kReadOnly,            ///< the endpoint does not lead, or no longer
  kMisrouted,           ///< another endpoint lives at that address
  kTooManyConnections,  ///< the endpoint takes no further connection
  kUnknownPreparedStatement,  ///< the endpoint does not know the prepared
                              ///< statement
  kMalformed,                 ///< makes no sense, or not in this state
  kNoDatabase,                ///< no route has that database
  kUnreachable,               ///< nothing could be sent
  // Nothing is promised:
  kFailed,
  kTimeout,
  kUnknown  ///< the answer did not come
};

/// Whether an endpoint certainly did not run the statement.
bool NotExecuted(StatementStatus outcome);
std::string_view ToString(StatementStatus outcome);

enum class TransactionState : uint8_t { kNone, kOpen, kFailed };

struct StatementResult {
  StatementStatus outcome = StatementStatus::kUnknown;
  std::vector<std::string> rows;
  std::string signature;  ///< the endpoint's, when done
  std::string detail;     ///< what went wrong, in one line
};

/// A prepared statement under a name that all sessions share.
struct PreparedStatement {
  std::string shared_name;
  std::string shape;
  bool writes = false;
  MSGPACK_DEFINE(shared_name, shape, writes)
};

/// The name under which sessions share a prepared statement.
std::string StatementSharedName(const std::string& shape, bool writes);

}  // namespace cardamomchute

MSGPACK_ADD_ENUM(cardamomchute::StatementStatus);
MSGPACK_ADD_ENUM(cardamomchute::TransactionState);

#endif  // CARDAMOMCHUTE_RELAY_STATEMENT_H_
