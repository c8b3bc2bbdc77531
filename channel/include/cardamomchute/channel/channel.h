/// The typed messages between the VM a caller is connected to (the entry) and
/// the VM that owns the caller's database group (the owner).
///
/// A channel belongs to one caller session and one group. The entry opens it,
/// sends statements in order, and reads each answer as it streams. The same
/// messages run in one process when the entry is the owner, and over a peer
/// link when it is not; neither side can tell.
///
///     ToOwnerSink to_owner = open(open_channel, [&](FromOwner m) { ... });
///     to_owner(Statement{...});
#ifndef CARDAMOMCHUTE_CHANNEL_CHANNEL_H_
#define CARDAMOMCHUTE_CHANNEL_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/pack.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// Bytes of answers an owner may send ahead of the caller's reading.
inline constexpr uint32_t kChannelWindowBytes = 128 * 1024;
/// The largest piece of an answer or of a statement in one message.
inline constexpr uint32_t kChannelChunkBytes = 32 * 1024;

/// Staleness bound of a read that takes data of any age.
inline constexpr Duration kAnyStaleness = Millis(-1);

/// What the entry made of a statement's text. Not certainly a read: a write.
enum class StatementKind : uint8_t {
  kRead = 0,          ///< certainly reads only; a replica may serve it
  kWrite = 1,         ///< may write; runs on the primary, never sent twice
  kBegin = 2,         ///< opens a transaction block; pins a connection
  kReadOnlyBegin = 3  ///< BEGIN READ ONLY
};

/// First message of a channel.
struct OpenChannel {
  GroupId group;
  SessionId session;
  /// What the caller brought from an earlier connection, if anything.
  std::optional<Floor> floor;
  std::string user;
  VmId entry;
  Zone entry_zone;
  MSGPACK_DEFINE(group, session, floor, user, entry, entry_zone)
};

/// One batch of frontend messages: a simple Query, or extended-query messages
/// up to Sync. Sent only when the batch before it has ended.
struct Statement {
  uint64_t number = 0;  ///< counts a channel's statements, from 1
  uint8_t kind = 1;     ///< a StatementKind
  Rank rank;
  Duration max_staleness;  ///< zero: exact; kAnyStaleness: any age
  Duration deadline;       ///< time left before the answer is of no use
  OperationKey operation_key;
  /// Hash of `setup`; equal hashes mean an equal session state.
  uint64_t setup_hash = 0;
  /// SQL that brings a fresh connection to the caller's session state.
  std::vector<std::string> setup;
  /// Parse messages of named statements this batch uses but does not parse.
  std::vector<std::string> prepared;
  std::string bytes;     ///< frontend messages in protocol framing
  bool complete = true;  ///< false: StatementData follows until complete
  /// It may leave the connection in another state than `setup` says (SET,
  /// PREPARE, functions not known): only this session may use it before it is
  /// reset. False: it certainly leaves the connection as `setup` says.
  bool changes_state = false;
  MSGPACK_DEFINE(number, kind, rank, max_staleness, deadline, operation_key,
                 setup_hash, setup, prepared, bytes, complete, changes_state)
};

/// More bytes of the statement that is under way (after Flush, or COPY data).
struct StatementData {
  std::string bytes;
  bool complete = false;
  MSGPACK_DEFINE(bytes, complete)
};

/// The caller asks to cancel the statement under way.
struct CancelStatement {
  uint64_t number = 0;
  MSGPACK_DEFINE(number)
};

/// The entry has passed on `bytes` of answer; the owner may send as many more.
struct Credit {
  uint32_t bytes = 0;
  MSGPACK_DEFINE(bytes)
};

/// The caller is gone: open transactions roll back, waiting statements drop.
struct CloseChannel {
  uint8_t unused = 0;
  MSGPACK_DEFINE(unused)
};

using ToOwner = std::variant<Statement, StatementData, CancelStatement, Credit,
                             CloseChannel>;

/// A piece of the answer: whole backend messages are not guaranteed; pieces
/// in order make up the exact bytes for the caller, without ReadyForQuery.
struct AnswerData {
  uint64_t number = 0;
  std::string bytes;
  MSGPACK_DEFINE(number, bytes)
};

/// How a statement ended.
enum class StatementOutcome : uint8_t {
  kAnswered = 0,  ///< the answer is whole, be it a result or an SQL error
  kNotRun = 1,    ///< refused before one byte reached an endpoint
  kUnknown = 2    ///< sent, and no valid answer: it may or may not have run
};

/// Last message of a statement's answer. For kNotRun and kUnknown the entry
/// makes the ErrorResponse from sqlstate, message and hint.
struct StatementEnd {
  uint64_t number = 0;
  uint8_t outcome = 0;            ///< an Ending
  char transaction_status = 'I';  ///< as in ReadyForQuery: I, T or E
  std::string sqlstate;
  std::string message;
  std::string hint;
  /// The session's floor after this statement, when it moved.
  std::optional<Floor> floor;
  /// Whether a replica served it, and which endpoint, for logs and reports.
  bool by_replica = false;
  EndpointId endpoint;
  MSGPACK_DEFINE(number, outcome, transaction_status, sqlstate, message, hint,
                 floor, by_replica, endpoint)
};

/// The channel is over: owner changed or link lost. A statement under way has
/// no StatementEnd; if it may write and `sent_nothing` is false, its outcome
/// is unknown. The entry opens another channel for what comes next.
struct ChannelReset {
  bool sent_nothing = false;
  std::string reason;
  MSGPACK_DEFINE(sent_nothing, reason)
};

using FromOwner = std::variant<AnswerData, StatementEnd, ChannelReset>;

/// Takes messages towards the owner; callable from the channel's own thread.
using ToOwnerSink = std::function<void(ToOwner)>;
/// Takes messages towards the caller; called on the thread that opened.
using FromOwnerSink = std::function<void(FromOwner)>;
/// Opens a channel. Never calls the sink before it returns.
using ChannelOpener =
    std::function<ToOwnerSink(const OpenChannel&, FromOwnerSink)>;

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_CHANNEL_CHANNEL_H_
