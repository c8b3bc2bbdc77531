#include "classify_read.h"

#include <algorithm>
#include <array>
#include <iterator>

#include "classify_functions.h"

namespace cardamomchute {
namespace {

/// Words that PostgreSQL reserves, so that they cannot be a function name
/// before a parenthesis.
constexpr std::string_view kReservedBeforeParenthesis[] = {
    "all",     "and",       "any",      "array",     "as",     "asc",
    "between", "case",      "desc",     "distinct",  "else",   "end",
    "except",  "exists",    "fetch",    "from",      "group",  "having",
    "in",      "intersect", "interval", "lateral",   "limit",  "not",
    "offset",  "on",        "or",       "returning", "row",    "select",
    "some",    "then",      "union",    "using",     "values", "when",
    "where",   "window",    "with"};

template <size_t kSize>
bool Contains(const std::string_view (&words)[kSize], const Token& token) {
  return token.kind == TokenKind::kWord &&
         std::find(std::begin(words), std::end(words), token.text) !=
             std::end(words);
}

bool IsName(const Token& token) {
  return token.kind == TokenKind::kWord || token.kind == TokenKind::kQuotedName;
}

/// Whether an unreserved word acts as a keyword at its position.
bool IsKeywordInPlace(TokenSpan tokens, size_t at) {
  const std::string& word = tokens[at].text;
  bool after_close = at > 0 && IsPunctuation(tokens, at - 1, ')');
  if (word == "over" || word == "filter") return after_close;
  if (word == "by") {
    return IsWord(tokens, at - 1, "group") || IsWord(tokens, at - 1, "order") ||
           IsWord(tokens, at - 1, "partition");
  }
  if (word == "materialized") {
    bool negated = IsWord(tokens, at - 1, "not");
    return IsWord(tokens, negated ? at - 2 : at - 1, "as");
  }
  if (word == "join") {
    constexpr std::string_view kJoinKinds[] = {"cross", "full",  "inner",
                                               "left",  "outer", "right"};
    constexpr std::string_view kQueryWords[] = {"select", "values", "with"};
    return (at > 0 && Contains(kJoinKinds, tokens[at - 1])) ||
           (at + 2 < tokens.size() && Contains(kQueryWords, tokens[at + 2]));
  }
  if (word == "conflict") return IsWord(tokens, at - 1, "on");
  if (word == "operator") {
    return IsWord(tokens, at + 2, "pg_catalog") &&
           IsPunctuation(tokens, at + 3, '.') && at + 4 < tokens.size() &&
           tokens[at + 4].kind == TokenKind::kPunctuation;
  }
  return false;
}

/// Whether the name is a type with a size or an alias with column names: AS
/// name
/// (...), ::name (...), WITH name (...).
bool IsTypeOrAlias(TokenSpan tokens, size_t at) {
  if (at == 0) return false;
  bool cast = at >= 2 && IsPunctuation(tokens, at - 1, ':') &&
              IsPunctuation(tokens, at - 2, ':');
  return cast || IsWord(tokens, at - 1, "as") ||
         IsWord(tokens, at - 1, "with") || IsWord(tokens, at - 1, "recursive");
}

/// Whether the name is the table of an INSERT, followed by its column list:
/// INTO name (...), INTO a.name (...).
bool IsInsertTarget(TokenSpan tokens, size_t at) {
  while (at >= 2 && IsPunctuation(tokens, at - 1, '.')) at -= 2;
  return IsWord(tokens, at - 1, "into");
}

/// Whether the function name at `at` is qualified by a schema other than
/// pg_catalog.
bool HasForeignSchema(TokenSpan tokens, size_t at) {
  if (at == 0 || !IsPunctuation(tokens, at - 1, '.')) return false;
  return at < 2 || !IsName(tokens[at - 2]) ||
         tokens[at - 2].text != "pg_catalog" ||
         (at >= 3 && IsPunctuation(tokens, at - 3, '.'));
}

bool IsSafeBeforeParenthesis(TokenSpan tokens, size_t at) {
  if (IsInsertTarget(tokens, at)) return true;
  if (HasForeignSchema(tokens, at)) return false;
  if (IsSafeFunction(tokens[at].text)) return true;
  if (tokens[at].kind == TokenKind::kQuotedName) {
    return IsTypeOrAlias(tokens, at);
  }
  bool qualified = at > 0 && IsPunctuation(tokens, at - 1, '.');
  if (qualified) return false;
  return Contains(kReservedBeforeParenthesis, tokens[at]) ||
         IsKeywordInPlace(tokens, at) || IsTypeOrAlias(tokens, at);
}

bool StartsQuery(TokenSpan tokens) {
  size_t at = 0;
  while (IsPunctuation(tokens, at, '(')) ++at;
  constexpr std::string_view kQueryWords[] = {"select", "table", "values",
                                              "with"};
  return at < tokens.size() && Contains(kQueryWords, tokens[at]);
}

bool TakesRowLocks(TokenSpan tokens) {
  constexpr std::string_view kStrengths[] = {"key", "no", "share", "update"};
  for (size_t i = 0; i + 1 < tokens.size(); ++i) {
    if (IsWord(tokens, i, "for") && Contains(kStrengths, tokens[i + 1])) {
      return true;
    }
  }
  return false;
}

bool ChangesData(TokenSpan tokens) {
  constexpr std::string_view kWrites[] = {"delete", "insert", "into", "merge",
                                          "update"};
  return std::any_of(tokens.begin(), tokens.end(), [&](const Token& token) {
    return Contains(kWrites, token);
  });
}

}  // namespace

bool CallsOnlySafeFunctions(TokenSpan tokens) {
  for (size_t i = 0; i + 1 < tokens.size(); ++i) {
    bool before_parenthesis =
        IsName(tokens[i]) && IsPunctuation(tokens, i + 1, '(');
    if (before_parenthesis && !IsSafeBeforeParenthesis(tokens, i)) {
      return false;
    }
  }
  return true;
}

bool IsReadOnlyQuery(TokenSpan tokens) {
  return StartsQuery(tokens) && !ChangesData(tokens) &&
         !TakesRowLocks(tokens) && CallsOnlySafeFunctions(tokens);
}

std::string FindSessionLock(TokenSpan tokens) {
  for (size_t i = 0; i + 1 < tokens.size(); ++i) {
    bool locks = IsName(tokens[i]) && IsPunctuation(tokens, i + 1, '(') &&
                 IsSessionLockFunction(tokens[i].text);
    if (locks) return tokens[i].text;
  }
  return "";
}

}  // namespace cardamomchute
