#include "cardamomchute/policy/sessions/classify.h"

#include <algorithm>
#include <iterator>
#include <optional>

#include "cardamomchute/policy/sessions/session_options.h"
#include "classify_functions.h"
#include "classify_read.h"
#include "classify_tokens.h"

namespace cardamomchute {
namespace {

SqlClass WithKind(SqlKind kind) { return SqlClass{kind, "", "", false}; }

SqlClass WithName(SqlKind kind, std::string name) {
  return SqlClass{kind, std::move(name), "", false};
}

/// A statement that writes nothing but must not run on a replica.
SqlClass PrimaryOnlyRead() { return SqlClass{SqlKind::kWrite, "", "", true}; }

SqlClass Unsupported(std::string what, std::string instead) {
  return SqlClass{SqlKind::kUnsupported, std::move(what), std::move(instead),
                  false};
}

bool IsName(TokenSpan tokens, size_t at) {
  return at < tokens.size() && (tokens[at].kind == TokenKind::kWord ||
                                tokens[at].kind == TokenKind::kQuotedName);
}

std::string_view TextOf(std::string_view sql, TokenSpan tokens) {
  if (tokens.empty()) return "";
  size_t begin = tokens.front().begin;
  return sql.substr(begin, tokens.back().end - begin);
}

/// Reads a name such as "a" or "a.b" at `*at` and advances `*at` past it;
/// returns "" if there is none.
std::string TakeName(TokenSpan tokens, size_t* at) {
  if (!IsName(tokens, *at)) return "";
  std::string name = tokens[(*at)++].text;
  while (IsPunctuation(tokens, *at, '.') && IsName(tokens, *at + 1)) {
    name += "." + tokens[*at + 1].text;
    *at += 2;
  }
  return name;
}

std::string LowerAscii(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return text;
}

bool IsProxySetting(const std::string& name) {
  return name.starts_with(kProxySettingPrefix);
}

SqlClass ClassifyStatement(std::string_view sql, TokenSpan tokens);

SqlClass ClassifyAssignment(std::string name, std::string_view sql,
                            TokenSpan value) {
  bool to_default = value.size() == 1 && IsWord(value, 0, "default");
  bool constant = value.size() == 1 && value[0].kind != TokenKind::kWord;
  if (IsProxySetting(name)) {
    std::string text =
        constant ? value[0].text : std::string(TextOf(sql, value));
    if (to_default) text.clear();
    return SqlClass{SqlKind::kProxySet, std::move(name), text, true};
  }
  if (value.empty()) return WithKind(SqlKind::kWrite);
  std::string text = to_default ? "" : std::string(TextOf(sql, value));
  return SqlClass{SqlKind::kSet, std::move(name), std::move(text), true};
}

/// Classifies SET forms with their own syntax, such as SET TIME ZONE.
std::optional<SqlClass> ClassifySpecialSet(std::string_view sql,
                                           TokenSpan tokens, size_t at) {
  TokenSpan rest = tokens.subspan(std::min(at + 1, tokens.size()));
  if (IsWord(tokens, at, "time") && IsWord(tokens, at + 1, "zone")) {
    return ClassifyAssignment("timezone", sql, rest.subspan(1));
  }
  if (IsWord(tokens, at, "names"))
    return ClassifyAssignment("client_encoding", sql, rest);
  if (IsWord(tokens, at, "schema"))
    return ClassifyAssignment("search_path", sql, rest);
  if (IsWord(tokens, at, "role")) return ClassifyAssignment("role", sql, rest);
  if (IsWord(tokens, at, "authorization")) {
    return ClassifyAssignment("session_authorization", sql, rest);
  }
  if (IsWord(tokens, at, "characteristics")) {
    return ClassifyAssignment("session characteristics", sql, rest);
  }
  return std::nullopt;
}

SqlClass ClassifySet(std::string_view sql, TokenSpan tokens) {
  size_t at = 1;
  if (IsWord(tokens, at, "transaction") || IsWord(tokens, at, "constraints")) {
    return SqlClass{SqlKind::kSetLocal, "", "", true};
  }
  if (IsWord(tokens, at, "local")) {
    bool product = IsWord(tokens, 2, "cardamomchute");
    if (product) {
      return Unsupported("SET LOCAL of a proxy setting", "use SET");
    }
    return SqlClass{SqlKind::kSetLocal, "", "", true};
  }
  if (IsWord(tokens, at, "session") && at + 1 < tokens.size() &&
      IsName(tokens, at + 1)) {
    ++at;
  }
  std::optional<SqlClass> special = ClassifySpecialSet(sql, tokens, at);
  if (special) return *special;
  std::string name = LowerAscii(TakeName(tokens, &at));
  bool assigns = IsPunctuation(tokens, at, '=') || IsWord(tokens, at, "to");
  if (name.empty() || !assigns) return WithKind(SqlKind::kWrite);
  return ClassifyAssignment(std::move(name), sql, tokens.subspan(at + 1));
}

SqlClass ClassifyReset(std::string_view sql, TokenSpan tokens) {
  size_t at = 1;
  std::string name = LowerAscii(TakeName(tokens, &at));
  if (name == "time" && IsWord(tokens, at, "zone")) name = "timezone";
  if (name == "session" && IsWord(tokens, at, "authorization")) {
    name = "session_authorization";
  }
  if (name.empty()) return WithKind(SqlKind::kWrite);
  SqlKind kind = IsProxySetting(name) ? SqlKind::kProxySet : SqlKind::kSet;
  return SqlClass{kind, std::move(name), "", true};
}

SqlClass ClassifyShow(std::string_view sql, TokenSpan tokens) {
  size_t at = 1;
  std::string name = LowerAscii(TakeName(tokens, &at));
  if (IsProxySetting(name)) {
    return SqlClass{SqlKind::kProxyShow, std::move(name), "", true};
  }
  if (name == "time" && IsWord(tokens, at, "zone")) {
    name = "timezone";
    ++at;
  }
  bool replica_safe = at == tokens.size() && IsReplicaSafeSetting(name);
  if (!replica_safe) return PrimaryOnlyRead();
  return SqlClass{SqlKind::kRead, "", "", true};
}

SqlClass ClassifyBegin(std::string_view sql, TokenSpan tokens) {
  bool starts =
      IsWord(tokens, 0, "begin") ||
      (IsWord(tokens, 0, "start") && IsWord(tokens, 1, "transaction"));
  if (!starts) return WithKind(SqlKind::kWrite);
  bool read_only = false;
  for (size_t i = 0; i + 1 < tokens.size(); ++i) {
    if (!IsWord(tokens, i, "read")) continue;
    if (IsWord(tokens, i + 1, "only")) read_only = true;
    if (IsWord(tokens, i + 1, "write")) {
      return SqlClass{SqlKind::kBegin, "", "", true};
    }
  }
  // PostgreSQL replicas do not support serializable transactions.
  if (HasWord(tokens, "serializable")) read_only = false;
  return SqlClass{read_only ? SqlKind::kReadOnlyBegin : SqlKind::kBegin, "", "",
                  true};
}

/// Returns the index after COMMIT, END, ROLLBACK or ABORT and an optional WORK
/// or TRANSACTION.
size_t SkipTransactionKeyword(TokenSpan tokens) {
  bool has_keyword =
      IsWord(tokens, 1, "work") || IsWord(tokens, 1, "transaction");
  return has_keyword ? 2 : 1;
}

bool IsChain(TokenSpan tokens, size_t at) {
  return IsWord(tokens, at, "and") && IsWord(tokens, at + 1, "chain");
}

SqlClass ClassifyEnd(TokenSpan tokens, SqlKind kind) {
  size_t at = SkipTransactionKeyword(tokens);
  if (IsWord(tokens, at, "prepared")) return WithKind(SqlKind::kWrite);
  if (IsChain(tokens, at)) {
    return Unsupported("AND CHAIN", "end the transaction and BEGIN another");
  }
  if (IsWord(tokens, at, "to")) {
    size_t name = IsWord(tokens, at + 1, "savepoint") ? at + 2 : at + 1;
    if (!IsName(tokens, name)) return WithKind(SqlKind::kWrite);
    return SqlClass{SqlKind::kRollbackTo, tokens[name].text, "", true};
  }
  return SqlClass{kind, "", "", true};
}

SqlClass ClassifyCommit(std::string_view sql, TokenSpan tokens) {
  return ClassifyEnd(tokens, SqlKind::kCommit);
}

SqlClass ClassifyRollback(std::string_view sql, TokenSpan tokens) {
  return ClassifyEnd(tokens, SqlKind::kRollback);
}

SqlClass ClassifySavepoint(std::string_view sql, TokenSpan tokens) {
  if (!IsName(tokens, 1)) return WithKind(SqlKind::kWrite);
  return SqlClass{SqlKind::kSavepoint, tokens[1].text, "", true};
}

SqlClass ClassifyPrepare(std::string_view sql, TokenSpan tokens) {
  if (IsWord(tokens, 1, "transaction")) return WithKind(SqlKind::kCommit);
  if (!IsName(tokens, 1)) return WithKind(SqlKind::kWrite);
  size_t as = 2;
  while (as < tokens.size() && !IsWord(tokens, as, "as")) ++as;
  if (as + 1 >= tokens.size()) return WithKind(SqlKind::kWrite);
  SqlClass body = ClassifyStatement(sql, tokens.subspan(as + 1));
  if (body.kind == SqlKind::kUnsupported) return body;
  bool reads = body.kind == SqlKind::kRead;
  return SqlClass{SqlKind::kPrepare, tokens[1].text, "", reads};
}

SqlClass ClassifyExecute(std::string_view sql, TokenSpan tokens) {
  if (!IsName(tokens, 1)) return WithKind(SqlKind::kWrite);
  bool safe_arguments = CallsOnlySafeFunctions(tokens.subspan(2));
  return SqlClass{SqlKind::kExecute, tokens[1].text, "", safe_arguments};
}

SqlClass ClassifyDeallocate(std::string_view sql, TokenSpan tokens) {
  size_t at = IsWord(tokens, 1, "prepare") && tokens.size() > 2 ? 2 : 1;
  if (!IsName(tokens, at)) return WithKind(SqlKind::kWrite);
  if (IsWord(tokens, at, "all")) return WithKind(SqlKind::kDeallocate);
  return WithName(SqlKind::kDeallocate, tokens[at].text);
}

SqlClass ClassifyDiscard(std::string_view sql, TokenSpan tokens) {
  bool all = IsWord(tokens, 1, "all") && tokens.size() == 2;
  return WithKind(all ? SqlKind::kDiscard : SqlKind::kWrite);
}

SqlClass ClassifyDeclare(std::string_view sql, TokenSpan tokens) {
  for (size_t i = 0; i + 1 < tokens.size(); ++i) {
    if (IsWord(tokens, i, "with") && IsWord(tokens, i + 1, "hold")) {
      return Unsupported("a cursor WITH HOLD",
                         "declare it within a transaction, without HOLD");
    }
    if (!IsWord(tokens, i, "for")) continue;
    bool reads = IsReadOnlyQuery(tokens.subspan(i + 1));
    return SqlClass{SqlKind::kTransactionOnly, "DECLARE CURSOR",
                    "declare it after BEGIN", reads};
  }
  return WithKind(SqlKind::kWrite);
}

SqlClass ClassifyCopy(std::string_view sql, TokenSpan tokens) {
  return Unsupported("COPY", "use SELECT, or INSERT with several rows");
}

SqlClass ClassifyListen(std::string_view sql, TokenSpan tokens) {
  return Unsupported("LISTEN", "poll the data periodically");
}

/// Detects CREATE [GLOBAL | LOCAL] TEMP and names in the schema pg_temp.
SqlClass ClassifyCreate(std::string_view sql, TokenSpan tokens) {
  size_t limit = std::min<size_t>(tokens.size(), 6);
  TokenSpan head = tokens.first(limit);
  bool temporary = HasWord(head, "temp") || HasWord(head, "temporary") ||
                   HasWord(tokens, "pg_temp");
  if (!temporary) return WithKind(SqlKind::kWrite);
  return Unsupported("a temporary object",
                     "use a common table expression or an ordinary table");
}

SqlClass ClassifyExplain(std::string_view sql, TokenSpan tokens) {
  size_t at = 1;
  if (IsPunctuation(tokens, at, '(')) {
    while (at < tokens.size() && !IsPunctuation(tokens, at, ')')) ++at;
    ++at;
  }
  while (IsWord(tokens, at, "analyze") || IsWord(tokens, at, "verbose")) ++at;
  if (at >= tokens.size()) return WithKind(SqlKind::kWrite);
  SqlClass body = ClassifyStatement(sql, tokens.subspan(at));
  bool reads = body.kind == SqlKind::kRead;
  return SqlClass{reads ? SqlKind::kRead : SqlKind::kWrite, "", "", reads};
}

SqlClass ClassifyPrimaryOnlyRead(std::string_view sql, TokenSpan tokens) {
  return PrimaryOnlyRead();
}

/// Parses SELECT set_config('name', 'value', false), which some drivers send.
std::optional<SqlClass> ParseSetConfig(TokenSpan tokens) {
  bool matches =
      tokens.size() == 9 && IsWord(tokens, 0, "select") &&
      IsWord(tokens, 1, "set_config") && IsPunctuation(tokens, 2, '(') &&
      tokens[3].kind == TokenKind::kString && IsPunctuation(tokens, 4, ',') &&
      tokens[5].kind == TokenKind::kString && IsPunctuation(tokens, 6, ',') &&
      IsWord(tokens, 7, "false") && IsPunctuation(tokens, 8, ')');
  if (!matches) return std::nullopt;
  std::string name = LowerAscii(tokens[3].text);
  if (IsProxySetting(name)) {
    return Unsupported("set_config of a proxy setting", "use SET " + name);
  }
  return SqlClass{SqlKind::kSet, std::move(name), "'" + tokens[5].text + "'",
                  true};
}

/// Whether a set_config call may have effect beyond the transaction.
bool CallsSessionSetConfig(TokenSpan tokens) {
  for (size_t i = 0; i + 1 < tokens.size(); ++i) {
    bool sets = IsName(tokens, i) && tokens[i].text == "set_config" &&
                IsPunctuation(tokens, i + 1, '(');
    if (!sets) continue;
    size_t end = i + 1;
    while (end < tokens.size() && !IsPunctuation(tokens, end, ')')) ++end;
    if (!IsWord(tokens, end - 1, "true")) return true;
  }
  return false;
}

SqlClass ClassifyQuery(std::string_view sql, TokenSpan tokens) {
  if (IsReadOnlyQuery(tokens)) return SqlClass{SqlKind::kRead, "", "", true};
  for (size_t i = 0; i + 1 < tokens.size(); ++i) {
    bool temporary =
        IsWord(tokens, i, "into") &&
        (IsWord(tokens, i + 1, "temp") || IsWord(tokens, i + 1, "temporary"));
    if (temporary) {
      return Unsupported("a temporary object",
                         "use a common table expression or an ordinary table");
    }
  }
  std::optional<SqlClass> set = ParseSetConfig(tokens);
  if (set) return *set;
  return WithKind(SqlKind::kWrite);
}

using Classifier = SqlClass (*)(std::string_view, TokenSpan);

struct FirstWord {
  std::string_view word;
  Classifier classify;
};

constexpr FirstWord kFirstWords[] = {{"select", ClassifyQuery},
                                     {"values", ClassifyQuery},
                                     {"table", ClassifyQuery},
                                     {"with", ClassifyQuery},
                                     {"begin", ClassifyBegin},
                                     {"start", ClassifyBegin},
                                     {"commit", ClassifyCommit},
                                     {"end", ClassifyCommit},
                                     {"rollback", ClassifyRollback},
                                     {"abort", ClassifyRollback},
                                     {"savepoint", ClassifySavepoint},
                                     {"release", ClassifyPrimaryOnlyRead},
                                     {"set", ClassifySet},
                                     {"reset", ClassifyReset},
                                     {"show", ClassifyShow},
                                     {"prepare", ClassifyPrepare},
                                     {"execute", ClassifyExecute},
                                     {"deallocate", ClassifyDeallocate},
                                     {"discard", ClassifyDiscard},
                                     {"declare", ClassifyDeclare},
                                     {"fetch", ClassifyPrimaryOnlyRead},
                                     {"move", ClassifyPrimaryOnlyRead},
                                     {"close", ClassifyPrimaryOnlyRead},
                                     {"unlisten", ClassifyPrimaryOnlyRead},
                                     {"copy", ClassifyCopy},
                                     {"listen", ClassifyListen},
                                     {"create", ClassifyCreate},
                                     {"explain", ClassifyExplain}};

/// Whether the tokens call currval or lastval, which depend on the session.
bool ReadsSessionSequenceState(TokenSpan tokens) {
  for (size_t i = 0; i + 1 < tokens.size(); ++i) {
    bool reads_sequence =
        IsName(tokens, i) && IsPunctuation(tokens, i + 1, '(') &&
        (tokens[i].text == "currval" || tokens[i].text == "lastval");
    if (reads_sequence) return true;
  }
  return false;
}

/// Whether a statement is known to leave no settings, locks, cursors or
/// prepared statements on its connection.
bool PreservesSessionState(TokenSpan tokens, SqlKind kind) {
  constexpr std::string_view kStatePreservingWords[] = {
      "abort",  "begin", "close", "commit",   "delete",   "end",       "fetch",
      "insert", "merge", "move",  "release",  "rollback", "savepoint", "select",
      "show",   "start", "table", "truncate", "update",   "values",    "with"};
  if (kind == SqlKind::kSetLocal) return true;
  bool known_word = std::any_of(
      std::begin(kStatePreservingWords), std::end(kStatePreservingWords),
      [&](std::string_view word) { return IsWord(tokens, 0, word); });
  return known_word && CallsOnlySafeFunctions(tokens);
}

SqlClass ClassifyFirstWord(std::string_view sql, TokenSpan tokens);

/// Classifies a single statement without its semicolon.
SqlClass ClassifyStatement(std::string_view sql, TokenSpan tokens) {
  if (tokens.empty()) return WithKind(SqlKind::kEmpty);
  SqlClass found = ClassifyFirstWord(sql, tokens);
  found.preserves_session_state = found.kind == SqlKind::kRead ||
                                  (found.kind != SqlKind::kSet &&
                                   PreservesSessionState(tokens, found.kind));
  return found;
}

SqlClass ClassifyFirstWord(std::string_view sql, TokenSpan tokens) {
  std::string lock = FindSessionLock(tokens);
  if (!lock.empty()) {
    return Unsupported("the session-level lock function " + lock,
                       "use pg_advisory_xact_lock within a transaction");
  }
  if (CallsSessionSetConfig(tokens) && !ParseSetConfig(tokens)) {
    return Unsupported("session-level set_config", "use SET");
  }
  if (ReadsSessionSequenceState(tokens)) {
    return SqlClass{SqlKind::kTransactionOnly, "currval or lastval",
                    "use INSERT ... RETURNING, or one transaction", false};
  }
  if (IsPunctuation(tokens, 0, '(')) return ClassifyQuery(sql, tokens);
  for (const FirstWord& first : kFirstWords) {
    if (IsWord(tokens, 0, first.word)) return first.classify(sql, tokens);
  }
  return WithKind(SqlKind::kWrite);
}

}  // namespace

std::vector<SqlStatement> ClassifyStatements(std::string_view sql) {
  TokenList list = Tokenize(sql);
  if (!list.reliable) return {SqlStatement{SqlClass(), std::string(sql)}};
  std::vector<SqlStatement> parts;
  for (TokenSpan tokens : SplitAtSemicolons(list.tokens)) {
    parts.push_back(SqlStatement{ClassifyStatement(sql, tokens),
                                 std::string(TextOf(sql, tokens))});
  }
  return parts;
}

SqlClass Classify(std::string_view sql) {
  std::vector<SqlStatement> parts = ClassifyStatements(sql);
  if (parts.empty()) return SqlClass{SqlKind::kEmpty, "", "", true};
  if (parts.size() == 1) return parts.front().sql_class;
  for (const SqlStatement& part : parts) {
    if (part.sql_class.kind == SqlKind::kUnsupported) return part.sql_class;
  }
  return SqlClass{SqlKind::kMultiStatement, "", "", false};
}

}  // namespace cardamomchute
