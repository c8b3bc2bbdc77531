/// Cuts SQL text into tokens the way PostgreSQL's scanner does, as far as
/// classification needs it.
#ifndef CARDAMOMCHUTE_POLICY_SRC_CLASSIFY_TOKENS_H_
#define CARDAMOMCHUTE_POLICY_SRC_CLASSIFY_TOKENS_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomchute {

enum class TokenKind {
  kWord,        ///< a keyword or plain identifier, in lower case
  kQuotedName,  ///< a quoted identifier, without its quotes
  kString,      ///< any string constant, without its quotes
  kNumber,      ///< digits, or a parameter such as $1
  kPunctuation  ///< one character of anything else
};

struct Token {
  TokenKind kind = TokenKind::kPunctuation;
  std::string text;
  size_t begin = 0;  ///< place in the SQL text
  size_t end = 0;
};

using TokenSpan = std::span<const Token>;

struct TokenList {
  std::vector<Token> tokens;
  /// False when some server setting would cut the text differently, or it
  /// ends within a quote or comment.
  bool reliable = true;
};

TokenList Tokenize(std::string_view sql);

/// Whether the token at `at` is that plain word or that punctuation.
bool IsWord(TokenSpan tokens, size_t at, std::string_view word);
bool IsPunctuation(TokenSpan tokens, size_t at, char c);

/// Whether any plain word of the span is `word`.
bool HasWord(TokenSpan tokens, std::string_view word);

/// Splits at semicolons outside parentheses; no part is empty.
std::vector<TokenSpan> SplitAtSemicolons(TokenSpan tokens);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_SRC_CLASSIFY_TOKENS_H_
