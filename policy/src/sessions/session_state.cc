#include "cardamomchute/policy/sessions/session_state.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace cardamomchute {
namespace {

bool IsPrepare(const SqlStatement& part) {
  return part.sql_class.kind == SqlKind::kPrepare;
}

/// Whether setting or resetting `later` overrides the setting `earlier`. RESET
/// ALL does not reset the role and the session authorization.
bool Replaces(const std::string& later, const std::string& earlier) {
  bool survives_reset_all =
      earlier == "role" || earlier == "session_authorization";
  return later == earlier || (later == "all" && !survives_reset_all);
}

/// Removes the settings that setting `name` (or RESET ALL) overrides. Settings
/// before a PREPARE stay, because they affect how the PREPARE is parsed.
void DropReplaced(const std::string& name,
                  std::vector<SqlStatement>* committed) {
  std::vector<SqlStatement>::iterator after_prepare = committed->end();
  while (after_prepare != committed->begin() && !IsPrepare(after_prepare[-1])) {
    --after_prepare;
  }
  committed->erase(std::remove_if(after_prepare, committed->end(),
                                  [&](const SqlStatement& part) {
                                    return Replaces(name, part.sql_class.name);
                                  }),
                   committed->end());
}

void Commit(const SqlStatement& part, SessionState* state) {
  if (part.sql_class.kind == SqlKind::kSet) {
    DropReplaced(part.sql_class.name, &state->committed);
  }
  bool redundant_reset =
      part.sql_class.value.empty() && part.sql_class.kind == SqlKind::kSet &&
      std::none_of(state->committed.begin(), state->committed.end(), IsPrepare);
  if (redundant_reset) return;  // no earlier setting remains to be reset
  state->committed.push_back(part);
}

void CommitPending(SessionState* state) {
  if (state->pending.empty()) return;
  for (const SqlStatement& part : state->pending) {
    if (part.sql_class.kind != SqlKind::kSavepoint) Commit(part, state);
  }
  state->pending.clear();
  ++state->revision;
}

void RollBackTo(const std::string& savepoint, SessionState* state) {
  std::vector<SqlStatement>& pending = state->pending;
  std::vector<SqlStatement>::reverse_iterator savepoint_entry = std::find_if(
      pending.rbegin(), pending.rend(), [&](const SqlStatement& part) {
        return part.sql_class.kind == SqlKind::kSavepoint &&
               part.sql_class.name == savepoint;
      });
  pending.erase(savepoint_entry.base(), pending.end());
}

}  // namespace

void SetStartupStatements(std::vector<std::string> startup_statements,
                          SessionState* state) {
  state->startup_statements = std::move(startup_statements);
  ++state->revision;
}

void OnStatementCompleted(const SqlStatement& part, SessionState* state) {
  switch (part.sql_class.kind) {
    case SqlKind::kSet:
    case SqlKind::kPrepare:
    case SqlKind::kSavepoint:
      state->pending.push_back(part);
      return;
    case SqlKind::kCommit:
      CommitPending(state);
      return;
    case SqlKind::kRollback:
      state->pending.clear();
      return;
    case SqlKind::kRollbackTo:
      RollBackTo(part.sql_class.name, state);
      return;
    case SqlKind::kDiscard:
      DiscardAll(state);
      return;
    default:
      return;
  }
}

void OnBatchEnd(char transaction_status, bool failed, SessionState* state) {
  if (transaction_status != 'I') return;
  if (failed) {
    state->pending.clear();
  } else {
    CommitPending(state);
  }
}

void OnTransactionLost(SessionState* state) { state->pending.clear(); }

void DiscardAll(SessionState* state) {
  state->committed.clear();
  state->pending.clear();
  state->named.clear();
  ++state->revision;
}

std::vector<std::string> SetupStatements(const SessionState& state) {
  std::vector<std::string> setup = state.startup_statements;
  for (const SqlStatement& part : state.committed) setup.push_back(part.text);
  return setup;
}

const SqlStatement* FindSqlPrepared(const SessionState& state,
                                    std::string_view name) {
  auto has_name = [&](const SqlStatement& part) {
    return IsPrepare(part) && part.sql_class.name == name;
  };
  for (const std::vector<SqlStatement>* list :
       {&state.pending, &state.committed}) {
    std::vector<SqlStatement>::const_iterator found =
        std::find_if(list->begin(), list->end(), has_name);
    if (found != list->end()) return &*found;
  }
  return nullptr;
}

const NamedStatement* FindNamedStatement(const SessionState& state,
                                         std::string_view name) {
  for (const NamedStatement& statement : state.named) {
    if (statement.name == name) return &statement;
  }
  return nullptr;
}

void PutNamedStatement(const NamedStatement& statement, SessionState* state) {
  for (NamedStatement& existing : state->named) {
    if (existing.name != statement.name) continue;
    existing = statement;
    return;
  }
  state->named.push_back(statement);
}

void RemovePreparedStatement(std::string_view name, SessionState* state) {
  std::erase_if(state->named, [&](const NamedStatement& statement) {
    return statement.name == name;
  });
  auto has_name = [&](const SqlStatement& part) {
    return IsPrepare(part) && part.sql_class.name == name;
  };
  size_t dropped = std::erase_if(state->committed, has_name) +
                   std::erase_if(state->pending, has_name);
  if (dropped > 0) ++state->revision;
}

bool Deallocate(std::string_view name, SessionState* state) {
  bool known = FindNamedStatement(*state, name) != nullptr ||
               FindSqlPrepared(*state, name) != nullptr;
  if (known) RemovePreparedStatement(name, state);
  return known;
}

void DeallocateAll(SessionState* state) {
  state->named.clear();
  std::erase_if(state->committed, IsPrepare);
  std::erase_if(state->pending, IsPrepare);
  ++state->revision;
}

size_t StateBytes(const SessionState& state) {
  size_t bytes = 0;
  for (const std::string& sql : state.startup_statements) bytes += sql.size();
  for (const SqlStatement& part : state.committed) bytes += part.text.size();
  for (const SqlStatement& part : state.pending) bytes += part.text.size();
  for (const NamedStatement& statement : state.named) {
    bytes += statement.parse_message.size();
  }
  return bytes;
}

}  // namespace cardamomchute
