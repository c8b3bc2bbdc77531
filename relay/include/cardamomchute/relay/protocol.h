/// Interface to the protocols of callers and endpoints: structs of functions
/// that encode and decode messages.
#ifndef CARDAMOMCHUTE_RELAY_PROTOCOL_H_
#define CARDAMOMCHUTE_RELAY_PROTOCOL_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "cardamomchute/base/error.h"
#include "cardamomchute/relay/statement.h"

namespace cardamomchute {

/// A message and the bytes it used; no message if more bytes are needed.
template <typename Message>
struct Decoded {
  std::optional<Message> message;
  size_t used = 0;
};

/// Commands to an endpoint.
enum class CommandKind : uint8_t {
  kRun,  ///< a caller's statement, with its id and text
  kBegin,
  kBeginReadOnly,
  kRollback,
  kSet,
  kPrepare,
  kReset,
  kStatus,
  kPause,   ///< stop receiving log entries of terms below `term`
  kResume,  ///< undo kPause
  kDemote   ///< follow the primary of `term`
};

struct EndpointCommand {
  CommandKind kind = CommandKind::kRun;
  std::string id;    ///< kRun
  std::string text;  ///< kRun
  /// kRun, kBeginReadOnly: refuse if the endpoint's log position is lower.
  std::optional<Floor> min_position;
  std::string name;   ///< kSet, kPrepare
  std::string value;  ///< kSet: the value; kPrepare: the shape
  bool prepares_write = false;
  Term term;  ///< kPause, kDemote
};

/// An endpoint's reported status.
struct EndpointStatus {
  bool is_primary = false;
  Term term;
  Floor received;
  Term paused_below;  ///< 0 if not paused
  uint64_t lag_ms = 0;
};

struct EndpointRow {
  std::string row;
};
struct EndpointDone {
  std::string signature;
};
struct EndpointError {
  StatementStatus outcome = StatementStatus::kUnknown;
  std::string detail;
};
/// Ends the answer to one command.
struct EndpointReady {
  TransactionState state = TransactionState::kNone;
  std::optional<Floor> at;
};

using EndpointMessage =
    std::variant<EndpointRow, EndpointDone, EndpointError, EndpointReady>;

struct CallerProtocol {
  std::function<Result<Decoded<CallerMessage>>(std::string_view)> decode;
  /// Answers the hello message, and ends each answer.
  std::function<void(TransactionState, const std::optional<Floor>&,
                     std::string*)>
      encode_ready;
  /// Encodes a statement's rows and outcome, without the ready message.
  std::function<void(const StatementResult&, std::string*)> encode_result;
};

/// The first message on a connection to an endpoint.
struct EndpointHello {
  GroupId group;
  EndpointId endpoint;
  /// On whose behalf; empty: the product itself.
  OrganisationName organisation;
};

struct EndpointProtocol {
  std::function<void(const EndpointHello&, std::string*)> encode_hello;
  std::function<void(const EndpointCommand&, std::string*)> encode;
  std::function<Result<Decoded<EndpointMessage>>(std::string_view)> decode;
  std::function<Result<EndpointStatus>(const std::string& row)> decode_status;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_RELAY_PROTOCOL_H_
