/// The messages between the VM that a caller is connected to (the entry) and
/// the VM that owns the caller's database group (the owner).
///
/// A channel belongs to one caller session and one group. The entry opens it,
/// sends statements in order, and receives each answer as a stream. If the
/// entry is the owner, the messages stay in the process; otherwise they are
/// sent over a link between the VMs. The interface is the same in both cases.
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

/// Flow-control window: answer bytes that an owner may send without Credit.
inline constexpr uint32_t kChannelWindowBytes = 128 * 1024;
/// Maximum size of one piece of an answer or a statement.
inline constexpr uint32_t kChannelChunkBytes = 32 * 1024;

/// Value of `Statement::max_staleness` that accepts data of any age.
inline constexpr Duration kAnyStaleness = Millis(-1);

/// The entry's classification of a statement. A statement that is not
/// certainly read-only counts as a write.
enum class StatementKind : uint8_t {
  kRead = 0,   ///< certainly read-only; a replica may serve it
  kWrite = 1,  ///< may write; runs on the primary, never retried once sent
  kBegin = 2,  ///< opens a transaction block; pins a connection to it
  kReadOnlyBegin = 3  ///< BEGIN READ ONLY
};

/// First message of a channel.
struct OpenChannel {
  GroupId group;
  SessionId session;
  /// The floor that the caller carries over from an earlier connection.
  std::optional<Floor> floor;
  std::string user;
  VmId entry;
  Zone entry_zone;
  MSGPACK_DEFINE(group, session, floor, user, entry, entry_zone)
};

/// One batch of frontend messages: a simple Query, or extended-query messages
/// up to Sync. Sent only after the previous batch has ended.
struct Statement {
  uint64_t number = 0;  ///< sequence number in the channel, from 1
  uint8_t kind = 1;     ///< a StatementKind
  Rank rank;
  Duration max_staleness;  ///< zero: exact; kAnyStaleness: any age
  Duration deadline;       ///< time left; zero: the owner's default timeout
  OperationKey operation_key;
  /// Hash of `setup`; equal hashes stand for equal session states.
  uint64_t setup_hash = 0;
  /// SQL that sets up the caller's session state on a reset connection.
  std::vector<std::string> setup;
  /// Parse messages of the named statements that this batch uses without
  /// parsing them itself.
  std::vector<std::string> prepared;
  std::string bytes;     ///< frontend messages in protocol framing
  bool complete = true;  ///< false: StatementData follows until complete
  /// Whether the statement may change the session state described by `setup`
  /// (SET, PREPARE, unknown functions). If so, the connection is reserved for
  /// this session until it is reset.
  bool changes_state = false;
  MSGPACK_DEFINE(number, kind, rank, max_staleness, deadline, operation_key,
                 setup_hash, setup, prepared, bytes, complete, changes_state)
};

/// More bytes of the statement in progress (after Flush, or COPY data).
struct StatementData {
  std::string bytes;
  bool complete = false;
  MSGPACK_DEFINE(bytes, complete)
};

/// The caller requests cancellation of the statement in progress.
struct CancelStatement {
  uint64_t number = 0;
  MSGPACK_DEFINE(number)
};

/// The entry has forwarded `bytes` of answers to the caller; the owner may send
/// that many more.
struct Credit {
  uint32_t bytes = 0;
  MSGPACK_DEFINE(bytes)
};

/// The caller has disconnected: its open transaction is rolled back and queued
/// statements are dropped.
struct CloseChannel {
  uint8_t unused = 0;
  MSGPACK_DEFINE(unused)
};

using ToOwner = std::variant<Statement, StatementData, CancelStatement, Credit,
                             CloseChannel>;

/// A piece of the answer, not necessarily aligned to backend messages. The
/// pieces in order are the exact bytes for the caller, without ReadyForQuery.
struct AnswerData {
  uint64_t number = 0;
  std::string bytes;
  MSGPACK_DEFINE(number, bytes)
};

/// The outcome of a statement.
enum class StatementOutcome : uint8_t {
  kAnswered = 0,  ///< the answer is complete: a result or an SQL error
  kNotRun = 1,    ///< refused before any byte was sent to an endpoint
  kUnknown = 2    ///< sent without a valid answer; it may have run
};

/// Last message of a statement's answer. For kNotRun and kUnknown the entry
/// builds an ErrorResponse from sqlstate, message and hint.
struct StatementEnd {
  uint64_t number = 0;
  uint8_t outcome = 0;            ///< a StatementOutcome
  char transaction_status = 'I';  ///< as in ReadyForQuery: I, T or E
  std::string sqlstate;
  std::string message;
  std::string hint;
  /// The session's floor after this statement, if it changed.
  std::optional<Floor> floor;
  /// Whether a replica served it, and which endpoint; for logs and reports.
  bool by_replica = false;
  EndpointId endpoint;
  MSGPACK_DEFINE(number, outcome, transaction_status, sqlstate, message, hint,
                 floor, by_replica, endpoint)
};

/// The channel is closed, because the owner changed or the link was lost. A
/// statement in progress gets no StatementEnd; its outcome is unknown if it may
/// write and `sent_nothing` is false. The entry opens another channel for later
/// statements.
struct ChannelReset {
  bool sent_nothing = false;
  std::string reason;
  MSGPACK_DEFINE(sent_nothing, reason)
};

using FromOwner = std::variant<AnswerData, StatementEnd, ChannelReset>;

/// Receives messages to the owner. Call it on the channel's own thread.
using ToOwnerSink = std::function<void(ToOwner)>;
/// Receives messages to the caller; runs on the thread that opened the channel.
using FromOwnerSink = std::function<void(FromOwner)>;
/// Opens a channel. Does not call the sink before it returns.
using ChannelOpener =
    std::function<ToOwnerSink(const OpenChannel&, FromOwnerSink)>;

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_CHANNEL_CHANNEL_H_
