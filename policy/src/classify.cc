#include "cardamomchute/policy/classify.h"

#include <algorithm>
#include <iterator>
#include <optional>

#include "cardamomchute/policy/session_options.h"
#include "classify_functions.h"
#include "classify_read.h"
#include "classify_tokens.h"

namespace cardamomchute {
namespace {

SqlClass Simple(SqlKind kind) { return SqlClass{kind, "", "", false}; }

SqlClass Named(SqlKind kind, std::string name) {
  return SqlClass{kind, std::move(name), "", false};
}

/// Writes nothing, but isn't for a replica.
SqlClass Harmless() { return SqlClass{SqlKind::kWrite, "", "", true}; }

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

/// "a" or "a.b" from `*at`, which moves behind it; empty when there is none.
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

bool IsProductName(const std::string& name) {
  return name.starts_with(kProxySettingPrefix);
}

SqlClass ClassifyStatement(std::string_view sql, TokenSpan tokens);

SqlClass SetTo(std::string name, std::string_view sql, TokenSpan value) {
  bool to_default = value.size() == 1 && IsWord(value, 0, "default");
  bool constant = value.size() == 1 && value[0].kind != TokenKind::kWord;
  if (IsProductName(name)) {
    std::string text =
        constant ? value[0].text : std::string(TextOf(sql, value));
    if (to_default) text.clear();
    return SqlClass{SqlKind::kProxySet, std::move(name), text, true};
  }
  if (value.empty()) return Simple(SqlKind::kWrite);
  std::string text = to_default ? "" : std::string(TextOf(sql, value));
  return SqlClass{SqlKind::kSet, std::move(name), std::move(text), true};
}

/// SET forms that name no setting.
std::optional<SqlClass> SetSpecial(std::string_view sql, TokenSpan tokens,
                                   size_t at) {
  TokenSpan rest = tokens.subspan(std::min(at + 1, tokens.size()));
  if (IsWord(tokens, at, "time") && IsWord(tokens, at + 1, "zone")) {
    return SetTo("timezone", sql, rest.subspan(1));
  }
  if (IsWord(tokens, at, "names")) return SetTo("client_encoding", sql, rest);
  if (IsWord(tokens, at, "schema")) return SetTo("search_path", sql, rest);
  if (IsWord(tokens, at, "role")) return SetTo("role", sql, rest);
  if (IsWord(tokens, at, "authorization")) {
    return SetTo("session_authorization", sql, rest);
  }
  if (IsWord(tokens, at, "characteristics")) {
    return SetTo("session characteristics", sql, rest);
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
      return Unsupported("SET LOCAL of a proxy's setting", "use SET");
    }
    return SqlClass{SqlKind::kSetLocal, "", "", true};
  }
  if (IsWord(tokens, at, "session") && at + 1 < tokens.size() &&
      IsName(tokens, at + 1)) {
    ++at;
  }
  std::optional<SqlClass> special = SetSpecial(sql, tokens, at);
  if (special) return *special;
  std::string name = LowerAscii(TakeName(tokens, &at));
  bool assigns = IsPunctuation(tokens, at, '=') || IsWord(tokens, at, "to");
  if (name.empty() || !assigns) return Simple(SqlKind::kWrite);
  return SetTo(std::move(name), sql, tokens.subspan(at + 1));
}

SqlClass ClassifyReset(std::string_view sql, TokenSpan tokens) {
  size_t at = 1;
  std::string name = LowerAscii(TakeName(tokens, &at));
  if (name == "time" && IsWord(tokens, at, "zone")) name = "timezone";
  if (name == "session" && IsWord(tokens, at, "authorization")) {
    name = "session_authorization";
  }
  if (name.empty()) return Simple(SqlKind::kWrite);
  SqlKind kind = IsProductName(name) ? SqlKind::kProxySet : SqlKind::kSet;
  return SqlClass{kind, std::move(name), "", true};
}

SqlClass ClassifyShow(std::string_view sql, TokenSpan tokens) {
  size_t at = 1;
  std::string name = LowerAscii(TakeName(tokens, &at));
  if (IsProductName(name)) {
    return SqlClass{SqlKind::kProxyShow, std::move(name), "", true};
  }
  if (name == "time" && IsWord(tokens, at, "zone")) {
    name = "timezone";
    ++at;
  }
  bool plain = at == tokens.size() && IsHarmlessSetting(name);
  if (!plain) return Harmless();
  return SqlClass{SqlKind::kRead, "", "", true};
}

SqlClass ClassifyBegin(std::string_view sql, TokenSpan tokens) {
  bool starts =
      IsWord(tokens, 0, "begin") ||
      (IsWord(tokens, 0, "start") && IsWord(tokens, 1, "transaction"));
  if (!starts) return Simple(SqlKind::kWrite);
  bool read_only = false;
  for (size_t i = 0; i + 1 < tokens.size(); ++i) {
    if (!IsWord(tokens, i, "read")) continue;
    if (IsWord(tokens, i + 1, "only")) read_only = true;
    if (IsWord(tokens, i + 1, "write")) {
      return SqlClass{SqlKind::kBegin, "", "", true};
    }
  }
  // A replica can't serve a serializable transaction.
  if (HasWord(tokens, "serializable")) read_only = false;
  return SqlClass{read_only ? SqlKind::kReadOnlyBegin : SqlKind::kBegin, "", "",
                  true};
}

/// Skips WORK or TRANSACTION after COMMIT, END, ROLLBACK, ABORT.
size_t AfterNoise(TokenSpan tokens) {
  bool noise = IsWord(tokens, 1, "work") || IsWord(tokens, 1, "transaction");
  return noise ? 2 : 1;
}

bool IsChain(TokenSpan tokens, size_t at) {
  return IsWord(tokens, at, "and") && IsWord(tokens, at + 1, "chain");
}

SqlClass ClassifyEnd(TokenSpan tokens, SqlKind kind) {
  size_t at = AfterNoise(tokens);
  if (IsWord(tokens, at, "prepared")) return Simple(SqlKind::kWrite);
  if (IsChain(tokens, at)) {
    return Unsupported("AND CHAIN", "end the transaction and BEGIN another");
  }
  if (IsWord(tokens, at, "to")) {
    size_t name = IsWord(tokens, at + 1, "savepoint") ? at + 2 : at + 1;
    if (!IsName(tokens, name)) return Simple(SqlKind::kWrite);
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
  if (!IsName(tokens, 1)) return Simple(SqlKind::kWrite);
  return SqlClass{SqlKind::kSavepoint, tokens[1].text, "", true};
}

SqlClass ClassifyPrepare(std::string_view sql, TokenSpan tokens) {
  if (IsWord(tokens, 1, "transaction")) return Simple(SqlKind::kCommit);
  if (!IsName(tokens, 1)) return Simple(SqlKind::kWrite);
  size_t as = 2;
  while (as < tokens.size() && !IsWord(tokens, as, "as")) ++as;
  if (as + 1 >= tokens.size()) return Simple(SqlKind::kWrite);
  SqlClass body = ClassifyStatement(sql, tokens.subspan(as + 1));
  if (body.kind == SqlKind::kUnsupported) return body;
  bool reads = body.kind == SqlKind::kRead;
  return SqlClass{SqlKind::kPrepare, tokens[1].text, "", reads};
}

SqlClass ClassifyExecute(std::string_view sql, TokenSpan tokens) {
  if (!IsName(tokens, 1)) return Simple(SqlKind::kWrite);
  bool plain = CallsOnlyHarmless(tokens.subspan(2));
  return SqlClass{SqlKind::kExecute, tokens[1].text, "", plain};
}

SqlClass ClassifyDeallocate(std::string_view sql, TokenSpan tokens) {
  size_t at = IsWord(tokens, 1, "prepare") && tokens.size() > 2 ? 2 : 1;
  if (!IsName(tokens, at)) return Simple(SqlKind::kWrite);
  if (IsWord(tokens, at, "all")) return Simple(SqlKind::kDeallocate);
  return Named(SqlKind::kDeallocate, tokens[at].text);
}

SqlClass ClassifyDiscard(std::string_view sql, TokenSpan tokens) {
  bool all = IsWord(tokens, 1, "all") && tokens.size() == 2;
  return Simple(all ? SqlKind::kDiscard : SqlKind::kWrite);
}

SqlClass ClassifyDeclare(std::string_view sql, TokenSpan tokens) {
  for (size_t i = 0; i + 1 < tokens.size(); ++i) {
    if (IsWord(tokens, i, "with") && IsWord(tokens, i + 1, "hold")) {
      return Unsupported("a cursor WITH HOLD",
                         "declare it within a transaction, without HOLD");
    }
    if (!IsWord(tokens, i, "for")) continue;
    bool reads = IsCertainRead(tokens.subspan(i + 1));
    return SqlClass{SqlKind::kTransactionOnly, "DECLARE CURSOR",
                    "declare it after BEGIN", reads};
  }
  return Simple(SqlKind::kWrite);
}

SqlClass ClassifyCopy(std::string_view sql, TokenSpan tokens) {
  return Unsupported("COPY", "use SELECT, or INSERT with several rows");
}

SqlClass ClassifyListen(std::string_view sql, TokenSpan tokens) {
  return Unsupported("LISTEN", "read the data again at intervals");
}

/// CREATE TEMP, also GLOBAL or LOCAL TEMP; or a name in pg_temp.
SqlClass ClassifyCreate(std::string_view sql, TokenSpan tokens) {
  size_t limit = std::min<size_t>(tokens.size(), 6);
  TokenSpan head = tokens.first(limit);
  bool temporary = HasWord(head, "temp") || HasWord(head, "temporary") ||
                   HasWord(tokens, "pg_temp");
  if (!temporary) return Simple(SqlKind::kWrite);
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
  if (at >= tokens.size()) return Simple(SqlKind::kWrite);
  SqlClass body = ClassifyStatement(sql, tokens.subspan(at));
  bool reads = body.kind == SqlKind::kRead;
  return SqlClass{reads ? SqlKind::kRead : SqlKind::kWrite, "", "", reads};
}

SqlClass ClassifyHarmless(std::string_view sql, TokenSpan tokens) {
  return Harmless();
}

/// SELECT set_config('name', 'value', false), as some drivers send it.
std::optional<SqlClass> SetConfig(TokenSpan tokens) {
  bool matches =
      tokens.size() == 9 && IsWord(tokens, 0, "select") &&
      IsWord(tokens, 1, "set_config") && IsPunctuation(tokens, 2, '(') &&
      tokens[3].kind == TokenKind::kString && IsPunctuation(tokens, 4, ',') &&
      tokens[5].kind == TokenKind::kString && IsPunctuation(tokens, 6, ',') &&
      IsWord(tokens, 7, "false") && IsPunctuation(tokens, 8, ')');
  if (!matches) return std::nullopt;
  std::string name = LowerAscii(tokens[3].text);
  if (IsProductName(name)) {
    return Unsupported("set_config of a proxy's setting", "use SET " + name);
  }
  return SqlClass{SqlKind::kSet, std::move(name), "'" + tokens[5].text + "'",
                  true};
}

/// A call of set_config that may last longer than the transaction.
bool SetsSession(TokenSpan tokens) {
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
  if (IsCertainRead(tokens)) return SqlClass{SqlKind::kRead, "", "", true};
  for (size_t i = 0; i + 1 < tokens.size(); ++i) {
    bool temporary =
        IsWord(tokens, i, "into") &&
        (IsWord(tokens, i + 1, "temp") || IsWord(tokens, i + 1, "temporary"));
    if (temporary) {
      return Unsupported("a temporary object",
                         "use a common table expression or an ordinary table");
    }
  }
  std::optional<SqlClass> set = SetConfig(tokens);
  if (set) return *set;
  return Simple(SqlKind::kWrite);
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
                                     {"release", ClassifyHarmless},
                                     {"set", ClassifySet},
                                     {"reset", ClassifyReset},
                                     {"show", ClassifyShow},
                                     {"prepare", ClassifyPrepare},
                                     {"execute", ClassifyExecute},
                                     {"deallocate", ClassifyDeallocate},
                                     {"discard", ClassifyDiscard},
                                     {"declare", ClassifyDeclare},
                                     {"fetch", ClassifyHarmless},
                                     {"move", ClassifyHarmless},
                                     {"close", ClassifyHarmless},
                                     {"unlisten", ClassifyHarmless},
                                     {"copy", ClassifyCopy},
                                     {"listen", ClassifyListen},
                                     {"create", ClassifyCreate},
                                     {"explain", ClassifyExplain}};

/// Whether the tokens ask what this session last drew from a sequence.
bool LooksBackAtSequence(TokenSpan tokens) {
  for (size_t i = 0; i + 1 < tokens.size(); ++i) {
    bool looks = IsName(tokens, i) && IsPunctuation(tokens, i + 1, '(') &&
                 (tokens[i].text == "currval" || tokens[i].text == "lastval");
    if (looks) return true;
  }
  return false;
}

/// Whether a statement certainly leaves no settings, locks, cursors or
/// prepared statements behind on its connection.
bool KeepsState(TokenSpan tokens, SqlKind kind) {
  constexpr std::string_view kPlain[] = {
      "abort",  "begin", "close", "commit",   "delete",   "end",       "fetch",
      "insert", "merge", "move",  "release",  "rollback", "savepoint", "select",
      "show",   "start", "table", "truncate", "update",   "values",    "with"};
  if (kind == SqlKind::kSetLocal) return true;
  bool plain = std::any_of(
      std::begin(kPlain), std::end(kPlain),
      [&](std::string_view word) { return IsWord(tokens, 0, word); });
  return plain && CallsOnlyHarmless(tokens);
}

SqlClass ClassifyFirstWord(std::string_view sql, TokenSpan tokens);

/// One statement without semicolons around it.
SqlClass ClassifyStatement(std::string_view sql, TokenSpan tokens) {
  if (tokens.empty()) return Simple(SqlKind::kEmpty);
  SqlClass found = ClassifyFirstWord(sql, tokens);
  found.preserves_session_state =
      found.kind == SqlKind::kRead ||
      (found.kind != SqlKind::kSet && KeepsState(tokens, found.kind));
  return found;
}

SqlClass ClassifyFirstWord(std::string_view sql, TokenSpan tokens) {
  std::string lock = FindSessionLock(tokens);
  if (!lock.empty()) {
    return Unsupported("a session's lock by " + lock,
                       "use pg_advisory_xact_lock within a transaction");
  }
  if (SetsSession(tokens) && !SetConfig(tokens)) {
    return Unsupported("set_config for the session", "use SET");
  }
  if (LooksBackAtSequence(tokens)) {
    return SqlClass{SqlKind::kTransactionOnly, "currval or lastval",
                    "use INSERT ... RETURNING, or one transaction", false};
  }
  if (IsPunctuation(tokens, 0, '(')) return ClassifyQuery(sql, tokens);
  for (const FirstWord& first : kFirstWords) {
    if (IsWord(tokens, 0, first.word)) return first.classify(sql, tokens);
  }
  return Simple(SqlKind::kWrite);
}

}  // namespace

std::vector<SqlStatement> ClassifyStatements(std::string_view sql) {
  TokenList list = Tokenize(sql);
  if (!list.certain) return {SqlStatement{SqlClass(), std::string(sql)}};
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
