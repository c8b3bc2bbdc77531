/// A caller's channel and the statement it has under way.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_JOB_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_JOB_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cardamomchute/channel/channel.h"
#include "cardamomchute/pgwire/group_sql.h"
#include "cardamomchute/policy/position.h"
#include "cardamomchute/policy/queue.h"
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

  // Once it was sent:
  bool sent = false;
  bool in_transaction = false;  ///< sent within the session's open transaction
  bool by_primary = true;
  Term term;  ///< in force when it was sent
  EndpointId endpoint;
  PooledPtr connection;  ///< until the answer and the position are there
  Time sent_at;
  int64_t sent_micros = 0;
  std::string resend_bytes;  ///< the bytes of a read, in case it must go again
  std::vector<std::string> parsed;
  std::optional<pgwire::Report> setup_error;
  std::optional<Time> cancelled_at;

  // Its operation key, recorded in the transaction that the statement is in:
  bool records_key = false;
  bool owner_transaction = false;  ///< the owner began that transaction, and ends it
  std::optional<pgwire::Report> key_error;
  bool commit_done = false;
  std::optional<pgwire::Report> commit_error;

  // Its answer:
  bool buffering = false;  ///< from the first completion on
  std::string buffered;
  size_t completions = 0;
  std::string command_tag;      ///< of the last CommandComplete
  bool answer_started = false;  ///< the caller may have seen a part of it
  bool failed = false;
  bool answered = false;
  char status = 'I';

  // Where the primary's log was after it:
  bool position_asked = false;
  bool position_done = false;
  Time position_asked_at;
  std::optional<pgwire::MemberPosition> position;
  /// Acknowledged once a replica has received up to here.
  std::optional<Position> required_position;
  Time settled_at;

  bool exact() const { return statement.max_staleness == Duration(0); }
  bool plain_read() const { return kind == StatementKind::kRead && !in_transaction; }
};

/// One caller's session at one group.
struct CallerChannel {
  OpenChannel open;
  FromOwnerSink sink;
  std::string session_key;  ///< names the session on connections and in queues
  int64_t credit = kChannelWindowBytes;
  std::shared_ptr<SessionFloor> floor;
  Floor reported_floor;
  /// The floor the caller brought, until it was found to hold.
  std::optional<Floor> supplied_floor;
  bool closed = false;
  bool flushing = false;

  std::shared_ptr<Job> job;
  std::string out;                  ///< for the caller, waits for credit
  std::optional<StatementEnd> end;  ///< goes out after `out`

  PooledPtr pinned;  ///< holds the session's open transaction
  bool pinned_to_primary = true;
  Term pinned_term;
  OperationKey transaction_key;  ///< recorded in the open transaction
  Time idle_since;
  Time slot_since;
  Rank slot_rank;
  Lane slot_lane = Lane::kPrimary;
  /// Why the open transaction is no more; told with the next statement.
  std::optional<pgwire::Report> transaction_loss;
};

using ChannelPtr = std::shared_ptr<CallerChannel>;
using JobPtr = std::shared_ptr<Job>;

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_JOB_H_
