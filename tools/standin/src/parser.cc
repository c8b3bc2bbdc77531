#include "parser.h"

#include <array>
#include <boost/outcome/try.hpp>

#include "cardamomchute/pgwire/group_sql.h"
#include "parse_data.h"
#include "parse_expr.h"
#include "parse_session.h"
#include "token_cursor.h"

namespace cardamomchute::standin {
namespace {

SqlError NotSupported(const std::string& what) {
  return SqlError{"0A000", what + " is not supported by the stand-in"};
}

bool IsUnsupported(std::string_view word) {
  constexpr std::array<std::string_view, 12> kWords = {
      "copy",  "declare", "fetch",   "listen",  "notify", "lock",
      "grant", "with",    "explain", "analyze", "vacuum", "do"};
  return std::find(kWords.begin(), kWords.end(), word) != kWords.end();
}

class Parser {
 public:
  explicit Parser(TokenCursor cursor) : in_(std::move(cursor)) {}

  SqlResult<std::vector<StatementPtr>> Run() {
    std::vector<StatementPtr> statements;
    while (!in_.AtEnd()) {
      if (in_.TakeSymbol(";")) continue;
      statements.push_back(std::make_shared<const Statement>(One()));
      if (!in_.AtEnd() && !in_.PeekSymbol(";")) in_.FailHere();
    }
    if (!in_.ok()) return *in_.error();
    return statements;
  }

 private:
  Statement One() {
    Statement s;
    if (in_.Rest().starts_with(pgwire::kProbeSql)) {
      in_.SkipTo(in_.Peek().offset + pgwire::kProbeSql.size());
      s.body = Probe{};
      return s;
    }
    bool found = ParseData(&in_, &s) || ParseSession(&in_, &s) || Nested(&s);
    if (found || !in_.ok()) return s;
    if (IsUnsupported(in_.Peek().text)) in_.Fail(NotSupported(in_.Peek().text));
    in_.FailHere();
    return s;
  }

  /// PREPARE name [(types)] AS statement.
  bool Nested(Statement* out) {
    if (!in_.TakeWord("prepare")) return false;
    std::shared_ptr<Prepare> prepare = std::make_shared<Prepare>();
    prepare->name = in_.ExpectName();
    if (in_.TakeSymbol("(")) {
      do {
        ParseTypeName(&in_);
      } while (in_.TakeSymbol(","));
      in_.ExpectSymbol(")");
    }
    in_.ExpectWord("as");
    prepare->statement = std::make_shared<const Statement>(One());
    out->body = std::shared_ptr<const Prepare>(std::move(prepare));
    return true;
  }

  TokenCursor in_;
};

}  // namespace

SqlResult<std::vector<StatementPtr>> Parse(std::string_view sql) {
  BOOST_OUTCOME_TRY(tokens, Tokenize(sql));
  return Parser(TokenCursor(sql, std::move(tokens))).Run();
}

}  // namespace cardamomchute::standin
