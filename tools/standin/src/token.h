/// Splits SQL text into tokens.
#ifndef CARDAMOMCHUTE_STANDIN_TOKEN_H_
#define CARDAMOMCHUTE_STANDIN_TOKEN_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "value.h"

namespace cardamomchute::standin {

enum class TokenKind {
  kWord,        ///< unquoted, folded to lower case
  kQuotedWord,  ///< "identifier"
  kNumber,
  kString,
  kParam,  ///< $1: text is "1"
  kSymbol,
  kEnd
};

struct Token {
  TokenKind kind = TokenKind::kEnd;
  std::string text;
  size_t offset = 0;  ///< of its first byte in the SQL text
};

/// All tokens, the last of kind kEnd. 42601 for an unterminated string,
/// comment or identifier.
SqlResult<std::vector<Token>> Tokenize(std::string_view sql);

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_TOKEN_H_
