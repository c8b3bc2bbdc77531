/// Tokenizes SQL text like PostgreSQL's scanner, to the extent that
/// classification needs.
#ifndef CARDAMOMCHUTE_POLICY_SRC_SESSIONS_CLASSIFY_TOKENS_H_
#define CARDAMOMCHUTE_POLICY_SRC_SESSIONS_CLASSIFY_TOKENS_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomchute {

enum class TokenKind {
  kWord,        ///< a keyword or plain identifier, in lower case
  kQuotedName,  ///< a quoted identifier, without its quotes
  kString,      ///< a string constant, without its quotes
  kNumber,      ///< a number, or a parameter such as $1
  kPunctuation  ///< any other single character
};

struct Token {
  TokenKind kind = TokenKind::kPunctuation;
  std::string text;
  size_t begin = 0;  ///< byte offset in the SQL text
  size_t end = 0;
};

using TokenSpan = std::span<const Token>;

struct TokenList {
  std::vector<Token> tokens;
  /// False if the tokens depend on a server setting, or if the text ends within
  /// a quote or comment.
  bool reliable = true;
};

TokenList Tokenize(std::string_view sql);

/// Whether the token at index `at` is this unquoted word or this punctuation.
bool IsWord(TokenSpan tokens, size_t at, std::string_view word);
bool IsPunctuation(TokenSpan tokens, size_t at, char c);

/// Whether the span contains the unquoted word `word`.
bool HasWord(TokenSpan tokens, std::string_view word);

/// Splits at semicolons outside parentheses; empty parts are skipped.
std::vector<TokenSpan> SplitAtSemicolons(TokenSpan tokens);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_SRC_SESSIONS_CLASSIFY_TOKENS_H_
