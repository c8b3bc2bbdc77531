#include "token.h"

#include <array>
#include <boost/outcome/try.hpp>
#include <cctype>

namespace cardamomchute::standin {
namespace {

bool IsWordStart(char c) {
  return std::isalpha(static_cast<unsigned char>(c)) || c == '_' ||
         static_cast<unsigned char>(c) >= 0x80;
}

bool IsDigit(char c) { return std::isdigit(static_cast<unsigned char>(c)); }

bool IsWordPart(char c) { return IsWordStart(c) || IsDigit(c) || c == '$'; }

SqlError Unterminated(const char* what) {
  return SqlError{"42601", std::string("unterminated ") + what};
}

class Tokenizer {
 public:
  explicit Tokenizer(std::string_view sql) : sql_(sql) {}

  SqlResult<std::vector<Token>> Run() {
    for (;;) {
      BOOST_OUTCOME_TRY(SkipBlanks());
      if (at_ >= sql_.size()) break;
      BOOST_OUTCOME_TRY(One());
    }
    Add(TokenKind::kEnd, "", sql_.size());
    return std::move(tokens_);
  }

 private:
  char Peek(size_t ahead = 0) const {
    return at_ + ahead < sql_.size() ? sql_[at_ + ahead] : '\0';
  }

  void Add(TokenKind kind, std::string text, size_t offset) {
    tokens_.push_back(Token{kind, std::move(text), offset});
  }

  SqlResult<void> SkipBlanks() {
    while (at_ < sql_.size()) {
      if (std::isspace(static_cast<unsigned char>(Peek()))) {
        ++at_;
        continue;
      }
      if (Peek() == '-' && Peek(1) == '-') {
        SkipLine();
        continue;
      }
      if (Peek() != '/' || Peek(1) != '*') break;
      size_t end = sql_.find("*/", at_ + 2);
      if (end == std::string_view::npos) return Unterminated("/* comment");
      at_ = end + 2;
    }
    return SqlOk();
  }

  void SkipLine() {
    while (at_ < sql_.size() && sql_[at_] != '\n') ++at_;
  }

  SqlResult<void> One() {
    char c = Peek();
    if ((c == 'e' || c == 'E') && Peek(1) == '\'') return Quoted('\'', true);
    if (c == '\'') return Quoted('\'', false);
    if (c == '"') return Quoted('"', false);
    if (c == '$' && IsDigit(Peek(1))) return Param();
    if (c == '$') return DollarQuoted();
    if (IsWordStart(c)) return Word();
    if (IsDigit(c) || (c == '.' && IsDigit(Peek(1)))) return Number();
    return Symbol();
  }

  SqlResult<void> Quoted(char quote, bool escapes) {
    size_t start = at_;
    at_ += escapes ? 2 : 1;
    std::string text;
    for (;;) {
      if (at_ >= sql_.size()) return Unterminated("quoted string");
      char c = sql_[at_++];
      if (escapes && c == '\\' && at_ < sql_.size()) {
        text.push_back(Escaped(sql_[at_++]));
        continue;
      }
      if (c == quote && Peek() == quote) {
        ++at_;
      } else if (c == quote) {
        break;
      }
      text.push_back(c);
    }
    Add(quote == '"' ? TokenKind::kQuotedWord : TokenKind::kString,
        std::move(text), start);
    return SqlOk();
  }

  static char Escaped(char c) {
    if (c == 'n') return '\n';
    if (c == 't') return '\t';
    if (c == 'r') return '\r';
    return c;
  }

  SqlResult<void> DollarQuoted() {
    size_t close = sql_.find('$', at_ + 1);
    if (close == std::string_view::npos) return Unterminated("dollar quote");
    std::string_view tag = sql_.substr(at_, close + 1 - at_);
    size_t end = sql_.find(tag, close + 1);
    if (end == std::string_view::npos) return Unterminated("dollar quote");
    Add(TokenKind::kString,
        std::string(sql_.substr(close + 1, end - close - 1)), at_);
    at_ = end + tag.size();
    return SqlOk();
  }

  SqlResult<void> Param() {
    size_t start = at_++;
    while (IsDigit(Peek())) ++at_;
    Add(TokenKind::kParam, std::string(sql_.substr(start + 1, at_ - start - 1)),
        start);
    return SqlOk();
  }

  SqlResult<void> Word() {
    size_t start = at_;
    std::string text;
    while (at_ < sql_.size() && IsWordPart(Peek())) {
      text.push_back(static_cast<char>(
          std::tolower(static_cast<unsigned char>(sql_[at_++]))));
    }
    Add(TokenKind::kWord, std::move(text), start);
    return SqlOk();
  }

  SqlResult<void> Number() {
    size_t start = at_;
    while (IsDigit(Peek()) || Peek() == '.') ++at_;
    Add(TokenKind::kNumber, std::string(sql_.substr(start, at_ - start)),
        start);
    return SqlOk();
  }

  SqlResult<void> Symbol() {
    constexpr std::array<std::string_view, 7> kLong = {"::", "<=", ">=", "<>",
                                                       "!=", "||", ":="};
    for (std::string_view symbol : kLong) {
      if (sql_.substr(at_, symbol.size()) != symbol) continue;
      Add(TokenKind::kSymbol, std::string(symbol), at_);
      at_ += symbol.size();
      return SqlOk();
    }
    Add(TokenKind::kSymbol, std::string(1, sql_[at_]), at_);
    ++at_;
    return SqlOk();
  }

  std::string_view sql_;
  size_t at_ = 0;
  std::vector<Token> tokens_;
};

}  // namespace

SqlResult<std::vector<Token>> Tokenize(std::string_view sql) {
  return Tokenizer(sql).Run();
}

}  // namespace cardamomchute::standin
