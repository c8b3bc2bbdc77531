/// A caller's channel and its current statement.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_JOB_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_JOB_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cardamomchute/channel/channel.h"
#include "cardamomchute/pgwire/group_sql.h"
#include "cardamomchute/policy/admission/queue.h"
#include "cardamomchute/policy/routing/position.h"
#include "pool.h"

namespace cardamomchute {

/// One statement from its arrival to its end.
struct Job {
  uint64_t id = 0;
  Statement statement;
  StatementKind kind = StatementKind::kWrite;
  Lane lane = Lane::kPrimary;
  Time arrived;
  int64_t arrived_micros = 0;
  Time deadline;
  int attempts = 0;

  // Execution, set when the statement is sent.
  bool sent = false;
  bool in_transaction = false;  ///< sent in the session's open transaction
  bool by_primary = true;
  Term term;  ///< current term when it was sent
  EndpointId endpoint;
  PooledPtr connection;  ///< until the answer and the position have arrived
  Time sent_at;
  int64_t sent_micros = 0;
  std::string resend_bytes;  ///< messages of a read, kept to resend it
  std::vector<std::string> parsed;
  std::optional<pgwire::Report> setup_error;
  std::optional<Time> cancelled_at;

  // Operation key, recorded in the statement's own transaction.
  bool records_key = false;
  bool owner_transaction = false;  ///< the owner begins and commits it
  std::optional<pgwire::Report> key_error;
  bool commit_done = false;
  std::optional<pgwire::Report> commit_error;

  // Answer.
  bool buffering = false;  ///< set by the first CommandComplete
  std::string buffered;    ///< held back until the answer is acknowledged
  size_t completions = 0;
  std::string command_tag;      ///< of the last CommandComplete
  bool has_commit = false;      ///< one of its statements was a COMMIT
  bool answer_started = false;  ///< a part was sent to the caller
  bool failed = false;
  bool answered = false;
  char status = 'I';

  // The primary's log position after the statement.
  bool position_asked = false;
  bool position_done = false;
  Time position_asked_at;
  std::optional<pgwire::MemberPosition> position;
  /// The statement is acknowledged when a replica has received this position.
  std::optional<Position> required_position;
  Time settled_at;  ///< when the answer and all its follow-ups were complete

  /// Whether it must run at the primary because no staleness is allowed.
  bool exact() const { return statement.max_staleness == Duration(0); }
  /// Whether it is a read outside of a transaction.
  bool plain_read() const {
    return kind == StatementKind::kRead && !in_transaction;
  }
};

/// A caller's channel to one group.
struct CallerChannel {
  OpenChannel open;
  FromOwnerSink sink;
  std::string session_key;  ///< identifies the session to the pool and queue
  int64_t credit = kChannelWindowBytes;  ///< bytes that may be sent
  std::shared_ptr<SessionFloor> floor;
  Floor reported_floor;  ///< last floor sent to the caller
  /// Floor the caller supplied on opening, until it was verified.
  std::optional<Floor> supplied_floor;
  bool closed = false;
  bool flushing = false;

  std::shared_ptr<Job> job;
  std::string out;                  ///< answer bytes waiting for credit
  std::optional<StatementEnd> end;  ///< sent after `out`

  PooledPtr pinned;  ///< connection of the open transaction
  bool pinned_to_primary = true;
  Term pinned_term;
  OperationKey transaction_key;  ///< recorded in the open transaction
  Time idle_since;               ///< end of the transaction's last statement
  Time slot_since;               ///< when the slot was taken
  Rank slot_rank;
  Lane slot_lane = Lane::kPrimary;
  /// Why the open transaction was lost; the next statement is refused with it.
  std::optional<pgwire::Report> transaction_loss;
};

using ChannelPtr = std::shared_ptr<CallerChannel>;
using JobPtr = std::shared_ptr<Job>;

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_JOB_H_
