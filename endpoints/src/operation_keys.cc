// Statements that may run at most once: their operation key is recorded in the
// group's own database, in the transaction that the statement itself is in. So
// the record survives exactly what the statement's effect survives, whichever
// VM owns the group and whichever member is the primary.

#include "cardamomchute/base/log.h"
#include "group.h"
#include "sql_runner.h"

namespace cardamomchute {
namespace {

constexpr std::string_view kCreateKeysSql =
    "CREATE TABLE IF NOT EXISTS cardamomchute_operations "
    "(operation_key text PRIMARY KEY)";
constexpr Duration kKeysTimeout = Millis(2000);
constexpr Duration kKeysRetry = Millis(1000);
constexpr std::string_view kUniqueViolation = "23505";

std::string RecordKeySql(const OperationKey& key) {
  std::string sql =
      "INSERT INTO cardamomchute_operations (operation_key) VALUES ('";
  for (char c : key.value()) {
    if (c == '\'') sql += c;
    sql += c;
  }
  return sql + "')";
}

}  // namespace

/// Whether the primary has the table of keys; makes it if not.
bool Group::KeysReady() {
  if (keys_ready_in_ == term_) return true;
  const Member* primary = members_->Find(primary_);
  Time now = Now();
  if (keys_asked_ || primary == nullptr || now < keys_retry_at_) return false;
  keys_asked_ = true;
  RunSql(*params_.thread,
         EndpointLogin{primary->state.address, spec_.user, spec_.database},
         {std::string(kCreateKeysSql)}, kKeysTimeout,
         [weak = weak_from_this(), term = term_](const Result<SqlRows>& rows) {
           std::shared_ptr<Group> group = weak.lock();
           if (!group || group->stopped_) return;
           group->keys_asked_ = false;
           if (rows) {
             group->keys_ready_in_ = term;
             return group->Dispatch();
           }
           group->keys_retry_at_ = Now() + kKeysRetry;
           LogLine(LogLevel::kWarn, "operation_keys_unavailable")
               .Field("group", group->id_)
               .Field("reason", rows.error().message)
               .Field("remedy",
                      "let the group's user create "
                      "cardamomchute_operations");
         });
  return false;
}

void Group::RecordKey(const ChannelPtr& channel, const JobPtr& job,
                      std::string* bytes, std::vector<Exchange>* exchanges) {
  const OperationKey& key = job->statement.operation_key;
  bool keyed = !key.empty() && job->kind == StatementKind::kWrite &&
               job->by_primary && channel->block_key != key;
  if (!keyed) return;
  job->records_key = true;
  job->wrapped = !job->in_block;
  if (job->wrapped) {
    *bytes += pgwire::Query("BEGIN");
    exchanges->emplace_back();
  } else {
    channel->block_key = key;
  }
  *bytes += pgwire::Query(RecordKeySql(key));
  Exchange record;
  record.on_end = [job](const ExchangeEnd& end) { job->key_error = end.error; };
  exchanges->push_back(std::move(record));
}

void Group::CommitKey(const ChannelPtr& channel, const JobPtr& job,
                      std::string* bytes, std::vector<Exchange>* exchanges) {
  *bytes += pgwire::Query("COMMIT");
  Exchange commit;
  commit.on_end = [weak = weak_from_this(), channel,
                   job](const ExchangeEnd& end) {
    std::shared_ptr<Group> group = weak.lock();
    if (!group || channel->job != job) return;
    job->commit_done = true;
    job->status = end.status;
    job->commit_error = end.error;
    // A failed statement took its transaction, and the key, with it.
    if (job->failed) job->completions = 0;
    group->Settle(channel, job);
  };
  exchanges->push_back(std::move(commit));
}

/// The key could not be recorded, so the statement had no effect.
void Group::EndKeyRefused(const ChannelPtr& channel, const JobPtr& job) {
  pgwire::Report report = *job->key_error;
  bool done_before = report.sqlstate == kUniqueViolation;
  if (done_before) {
    report = {"ERROR", std::string(kUniqueViolation),
              "the operation with this key has been done already", "",
              "do not repeat it; read its result instead"};
  } else {
    keys_ready_in_ = Term(0);
    report.sqlstate = "57P03";
    report.message = "the operation key was not recorded: " + report.message;
    report.hint = "the statement did not run; retry";
  }
  channel->block_key = OperationKey();
  metrics_.Refused(job->statement.rank,
                   done_before ? "done_already" : "key_not_recorded");
  StatementEnd end;
  end.outcome = static_cast<uint8_t>(StatementOutcome::kNotRun);
  end.transaction_status = job->status;
  end.sqlstate = report.sqlstate;
  end.message = report.message;
  end.hint = report.hint;
  end.endpoint = job->endpoint;
  EndJob(channel, std::move(end));
  Flush(channel);
}

}  // namespace cardamomchute
