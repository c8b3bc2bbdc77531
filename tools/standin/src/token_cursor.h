/// Walks tokens; the first fault sticks and ends the walk.
#ifndef CARDAMOMCHUTE_STANDIN_TOKEN_CURSOR_H_
#define CARDAMOMCHUTE_STANDIN_TOKEN_CURSOR_H_

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "token.h"

namespace cardamomchute::standin {

class TokenCursor {
 public:
  /// `tokens` ends with kEnd.
  TokenCursor(std::string_view sql, std::vector<Token> tokens)
      : sql_(sql), tokens_(std::move(tokens)) {}

  const Token& Peek(size_t ahead = 0) const {
    return tokens_[std::min(at_ + ahead, tokens_.size() - 1)];
  }
  bool AtEnd() const { return Peek().kind == TokenKind::kEnd; }
  Token Next() {
    Token token = Peek();
    if (!AtEnd()) ++at_;
    return token;
  }

  bool PeekWord(std::string_view word, size_t ahead = 0) const {
    return Peek(ahead).kind == TokenKind::kWord && Peek(ahead).text == word;
  }
  bool PeekSymbol(std::string_view symbol, size_t ahead = 0) const {
    return Peek(ahead).kind == TokenKind::kSymbol && Peek(ahead).text == symbol;
  }
  bool TakeWord(std::string_view word) {
    if (!PeekWord(word)) return false;
    ++at_;
    return true;
  }
  bool TakeSymbol(std::string_view symbol) {
    if (!PeekSymbol(symbol)) return false;
    ++at_;
    return true;
  }
  /// Takes two words in a row, or none.
  bool TakeWords(std::string_view first, std::string_view second) {
    if (!PeekWord(first) || !PeekWord(second, 1)) return false;
    at_ += 2;
    return true;
  }
  void ExpectWord(std::string_view word) {
    if (!TakeWord(word)) FailHere();
  }
  void ExpectSymbol(std::string_view symbol) {
    if (!TakeSymbol(symbol)) FailHere();
  }
  std::string ExpectName() {
    bool named = Peek().kind == TokenKind::kWord ||
                 Peek().kind == TokenKind::kQuotedWord;
    if (named) return Next().text;
    FailHere();
    return "";
  }

  /// Skips tokens that begin before `offset` of the text.
  void SkipTo(size_t offset) {
    while (!AtEnd() && Peek().offset < offset) ++at_;
  }
  /// The text from the current token on.
  std::string_view Rest() const { return sql_.substr(Peek().offset); }
  std::string_view Between(size_t from, size_t to) const {
    return sql_.substr(from, to - from);
  }

  /// "syntax error at or near ..."
  void FailHere() {
    std::string where = AtEnd() ? "end of input" : "\"" + Peek().text + "\"";
    Fail(SqlError{"42601", "syntax error at " +
                               std::string(AtEnd() ? "" : "or near ") + where});
  }
  void Fail(SqlError error) {
    if (!error_) error_ = std::move(error);
    at_ = tokens_.size() - 1;
  }
  bool ok() const { return !error_; }
  const std::optional<SqlError>& error() const { return error_; }

 private:
  std::string_view sql_;
  std::vector<Token> tokens_;
  size_t at_ = 0;
  std::optional<SqlError> error_;
};

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_TOKEN_CURSOR_H_
