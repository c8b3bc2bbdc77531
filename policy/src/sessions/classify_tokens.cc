#include "classify_tokens.h"

#include <algorithm>
#include <cctype>

namespace cardamomchute {
namespace {

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool IsBlank(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' ||
         c == '\v';
}

bool StartsWord(char c) {
  return std::isalpha(static_cast<unsigned char>(c)) || c == '_' ||
         static_cast<unsigned char>(c) >= 0x80;
}

bool ContinuesWord(char c) { return StartsWord(c) || IsDigit(c) || c == '$'; }

class Scanner {
 public:
  explicit Scanner(std::string_view sql) : sql_(sql) {}

  TokenList Scan() {
    constexpr size_t kTypicalTokenCount = 32;
    list_.tokens.reserve(kTypicalTokenCount);
    while (at_ < sql_.size() && list_.reliable) ScanToken();
    return std::move(list_);
  }

 private:
  char Peek(size_t ahead = 0) const {
    return at_ + ahead < sql_.size() ? sql_[at_ + ahead] : '\0';
  }

  void ScanToken() {
    char c = Peek();
    if (IsBlank(c)) {
      ++at_;
    } else if (c == '-' && Peek(1) == '-') {
      SkipLineComment();
    } else if (c == '/' && Peek(1) == '*') {
      SkipBlockComment();
    } else if (c == '\'') {
      ScanString();
    } else if (c == '"') {
      ScanQuotedName();
    } else if (c == '$') {
      ScanDollar();
    } else if (IsDigit(c)) {
      ScanNumber();
    } else if (StartsWord(c)) {
      ScanWord();
    } else {
      Add(TokenKind::kPunctuation, at_, std::string(1, c), at_ + 1);
    }
  }

  void Add(TokenKind kind, size_t begin, std::string text, size_t end) {
    list_.tokens.push_back(Token{kind, std::move(text), begin, end});
    at_ = end;
  }

  void MarkUnreliable() { list_.reliable = false; }

  void SkipLineComment() {
    while (at_ < sql_.size() && Peek() != '\n' && Peek() != '\r') ++at_;
  }

  void SkipBlockComment() {
    size_t depth = 0;
    while (at_ < sql_.size()) {
      if (Peek() == '/' && Peek(1) == '*') {
        ++depth;
        at_ += 2;
      } else if (Peek() == '*' && Peek(1) == '/') {
        --depth;
        at_ += 2;
        if (depth == 0) return;
      } else {
        ++at_;
      }
    }
    MarkUnreliable();
  }

  /// A backslash makes the result unreliable: whether it escapes depends on the
  /// setting standard_conforming_strings.
  void ScanString() { ScanQuoted('\'', TokenKind::kString); }

  /// A backslash makes the result unreliable: in U&"..." it starts a Unicode
  /// escape.
  void ScanQuotedName() { ScanQuoted('"', TokenKind::kQuotedName); }

  /// Scans text between two quotes; a doubled quote stands for a single one.
  void ScanQuoted(char quote, TokenKind kind) {
    size_t begin = at_++;
    std::string text;
    while (true) {
      size_t stop = sql_.find(quote, at_);
      if (stop == std::string_view::npos) return MarkUnreliable();
      std::string_view piece = sql_.substr(at_, stop - at_);
      if (piece.find('\\') != std::string_view::npos) return MarkUnreliable();
      text.append(piece);
      at_ = stop + 1;
      if (Peek() != quote) return Add(kind, begin, std::move(text), at_);
      text.push_back(quote);
      ++at_;
    }
  }

  void ScanEscapeString(size_t begin) {
    ++at_;
    std::string text;
    for (; at_ < sql_.size(); ++at_) {
      if (Peek() == '\'' && Peek(1) != '\'') {
        return Add(TokenKind::kString, begin, std::move(text), at_ + 1);
      }
      if (Peek() == '\'' || Peek() == '\\') ++at_;
      text.push_back(Peek());
    }
    MarkUnreliable();
  }

  void ScanDollar() {
    if (IsDigit(Peek(1))) {
      size_t begin = at_++;
      while (IsDigit(Peek())) ++at_;
      return Add(TokenKind::kNumber, begin,
                 std::string(sql_.substr(begin, at_ - begin)), at_);
    }
    size_t tag_end = at_ + 1;
    while (tag_end < sql_.size() && ContinuesWord(sql_[tag_end]) &&
           sql_[tag_end] != '$') {
      ++tag_end;
    }
    bool quote = tag_end < sql_.size() && sql_[tag_end] == '$';
    if (!quote) {
      return Add(TokenKind::kPunctuation, at_, "$", at_ + 1);
    }
    std::string_view tag = sql_.substr(at_, tag_end + 1 - at_);
    size_t body = tag_end + 1;
    size_t close = sql_.find(tag, body);
    if (close == std::string_view::npos) return MarkUnreliable();
    Add(TokenKind::kString, at_, std::string(sql_.substr(body, close - body)),
        close + tag.size());
  }

  void ScanNumber() {
    size_t begin = at_;
    while (IsDigit(Peek())) ++at_;
    if (Peek() == '.' && Peek(1) != '.') {
      ++at_;
      while (IsDigit(Peek())) ++at_;
    }
    size_t sign = Peek(1) == '+' || Peek(1) == '-' ? 1 : 0;
    bool exponent = (Peek() == 'e' || Peek() == 'E') && IsDigit(Peek(1 + sign));
    if (exponent) {
      at_ += 1 + sign;
      while (IsDigit(Peek())) ++at_;
    }
    Add(TokenKind::kNumber, begin, std::string(sql_.substr(begin, at_ - begin)),
        at_);
  }

  void ScanWord() {
    size_t begin = at_;
    std::string text;
    for (; at_ < sql_.size() && ContinuesWord(Peek()); ++at_) {
      unsigned char c = static_cast<unsigned char>(Peek());
      text.push_back(c < 0x80 ? static_cast<char>(std::tolower(c))
                              : static_cast<char>(c));
    }
    if (text == "e" && Peek() == '\'') return ScanEscapeString(begin);
    Add(TokenKind::kWord, begin, std::move(text), at_);
  }

  std::string_view sql_;
  size_t at_ = 0;
  TokenList list_;
};

}  // namespace

TokenList Tokenize(std::string_view sql) { return Scanner(sql).Scan(); }

bool IsWord(TokenSpan tokens, size_t at, std::string_view word) {
  return at < tokens.size() && tokens[at].kind == TokenKind::kWord &&
         tokens[at].text == word;
}

bool IsPunctuation(TokenSpan tokens, size_t at, char c) {
  return at < tokens.size() && tokens[at].kind == TokenKind::kPunctuation &&
         tokens[at].text[0] == c;
}

bool HasWord(TokenSpan tokens, std::string_view word) {
  return std::any_of(tokens.begin(), tokens.end(), [&](const Token& token) {
    return token.kind == TokenKind::kWord && token.text == word;
  });
}

std::vector<TokenSpan> SplitAtSemicolons(TokenSpan tokens) {
  std::vector<TokenSpan> parts;
  size_t begin = 0;
  int depth = 0;
  for (size_t i = 0; i < tokens.size(); ++i) {
    if (IsPunctuation(tokens, i, '(')) ++depth;
    if (IsPunctuation(tokens, i, ')')) --depth;
    if (depth > 0 || !IsPunctuation(tokens, i, ';')) continue;
    if (i > begin) parts.push_back(tokens.subspan(begin, i - begin));
    begin = i + 1;
  }
  if (begin < tokens.size()) parts.push_back(tokens.subspan(begin));
  return parts;
}

}  // namespace cardamomchute
