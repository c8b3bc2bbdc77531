// What a session answers by itself, without an endpoint.

#include <string_view>
#include <utility>

#include "caller_session.h"
#include "local_answer.h"
#include "session_reports.h"

namespace cardamomchute {
namespace {

/// The longest unnamed statement that is kept beyond its batch.
constexpr size_t kMaxUnnamedBytes = 16 * 1024;

}  // namespace

void CallerSession::AnswerAlone(const Batch& batch, const BatchPlan& plan) {
  params_->counts->Count(EffectiveRank(grant_, options_), EntryEnding::kLocal);
  LocalAnswer answer = AnswerLocally(
      batch.bytes, plan, state_,
      [this](const SqlStatement& part) { return RunLocally(part); });
  if (!answer.failed) {
    for (const NamedStatement& parsed : plan.parsed) KeepParsed(parsed);
  }
  if (answer.failed && owner_status_ == 'T') LoseBlock(true);
  ForgetClosed(plan);
  Answer(answer.bytes, status());
}

LocalResult CallerSession::RunLocally(const SqlStatement& part) {
  const SqlClass& sql = part.sql_class;
  switch (sql.kind) {
    case SqlKind::kProxySet:
      return RunProductSet(sql);
    case SqlKind::kProxyShow:
      return RunProductShow(sql);
    case SqlKind::kDeallocate:
      return RunDeallocate(sql);
    case SqlKind::kDiscard:
      DiscardAll(&state_);
      return LocalResult{{}, "DISCARD ALL", {}};
    case SqlKind::kCommit:
    case SqlKind::kRollback:
      return LocalResult{{}, "ROLLBACK", {}};
    default:
      return LocalResult{};
  }
}

LocalResult CallerSession::RunProductSet(const SqlClass& sql) {
  ViewPtr view = params_->view();
  std::string_view name = std::string_view(sql.name);
  name.remove_prefix(kProxySettingPrefix.size());
  bool moves_channel = name == "session" || name == "floor";
  if (moves_channel && status() != 'I') {
    return LocalResult{
        MakeReport("25001", "SET " + sql.name + " within a transaction",
                   "set it before BEGIN"),
        {},
        {}};
  }
  Status set = SetSessionOption(name, sql.value, view->document->document,
                                grant_, &options_);
  if (set.has_error()) {
    bool unknown = set.error().kind == ErrorKind::kNotFound;
    return LocalResult{MakeReport(unknown ? "42704" : "22023",
                                  set.error().message, set.error().remedy),
                       {},
                       {}};
  }
  if (moves_channel) DropChannel();
  return LocalResult{{}, sql.value.empty() ? "RESET" : "SET", {}};
}

LocalResult CallerSession::RunProductShow(const SqlClass& sql) {
  ViewPtr view = params_->view();
  std::string_view name = std::string_view(sql.name);
  name.remove_prefix(kProxySettingPrefix.size());
  Result<std::string> value =
      ShowSessionOption(name, view->document->document, grant_, options_);
  if (value.has_error()) {
    return LocalResult{
        MakeReport("42704", value.error().message, value.error().remedy),
        {},
        {}};
  }
  return LocalResult{{}, "SHOW", value.value()};
}

LocalResult CallerSession::RunDeallocate(const SqlClass& sql) {
  if (sql.name.empty()) {
    DeallocateAll(&state_);
    return LocalResult{{}, "DEALLOCATE ALL", {}};
  }
  if (Deallocate(sql.name, &state_)) return LocalResult{{}, "DEALLOCATE", {}};
  return LocalResult{
      MakeReport("26000",
                 "prepared statement \"" + sql.name + "\" does not exist", ""),
      {},
      {}};
}

/// A long unnamed statement is not worth its memory: clients parse it anew.
void CallerSession::KeepParsed(const NamedStatement& parsed) {
  bool too_long =
      parsed.name.empty() && parsed.parse_message.size() > kMaxUnnamedBytes;
  if (too_long) {
    RemovePreparedStatement("", &state_);
  } else {
    PutNamedStatement(parsed, &state_);
  }
}

void CallerSession::ForgetClosed(const BatchPlan& plan) {
  for (const std::string& name : plan.closed)
    RemovePreparedStatement(name, &state_);
}

}  // namespace cardamomchute
