#include "parse_expr.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace cardamomchute::standin {
namespace {

constexpr int kMaxDepth = 200;

class ExprParser {
 public:
  explicit ExprParser(TokenCursor* cursor) : in_(*cursor) {}

  Expr Or() {
    if (++depth_ > kMaxDepth) {
      in_.Fail(SqlError{"54001", "expression is nested too deeply"});
    }
    Expr left = And();
    while (in_.TakeWord("or")) left = Binary("or", std::move(left), And());
    --depth_;
    return left;
  }

 private:
  static Expr Make(ExprKind kind, std::string text = "") {
    Expr e;
    e.kind = kind;
    e.text = std::move(text);
    return e;
  }

  static Expr Unary(ExprKind kind, Expr arg) {
    Expr e = Make(kind);
    e.args.push_back(std::move(arg));
    return e;
  }

  static Expr Binary(std::string op, Expr left, Expr right) {
    Expr e = Make(ExprKind::kBinary, std::move(op));
    e.args.push_back(std::move(left));
    e.args.push_back(std::move(right));
    return e;
  }

  static Expr Literal(Value v) {
    Expr e;
    e.literal = std::move(v);
    return e;
  }

  Expr And() {
    Expr left = Not();
    while (in_.TakeWord("and")) left = Binary("and", std::move(left), Not());
    return left;
  }

  Expr Not() {
    size_t count = 0;
    while (in_.TakeWord("not")) ++count;
    Expr e = Comparison();
    return count % 2 == 0 ? e : Unary(ExprKind::kNot, std::move(e));
  }

  Expr Comparison() {
    Expr left = Sum();
    for (;;) {
      if (in_.TakeWord("is")) {
        bool negated = in_.TakeWord("not");
        in_.ExpectWord("null");
        left = Unary(ExprKind::kIsNull, std::move(left));
        if (negated) left = Unary(ExprKind::kNot, std::move(left));
        continue;
      }
      if (in_.TakeWords("not", "in")) {
        left = Unary(ExprKind::kNot, In(std::move(left)));
        continue;
      }
      if (in_.TakeWord("in")) {
        left = In(std::move(left));
        continue;
      }
      std::string op = TakeOperator({"=", "<", ">", "<=", ">=", "<>", "!="});
      if (op.empty()) return left;
      left = Binary(op == "!=" ? "<>" : op, std::move(left), Sum());
    }
  }

  Expr In(Expr left) {
    Expr e = Unary(ExprKind::kIn, std::move(left));
    for (Expr& arg : ParseExprList(&in_)) e.args.push_back(std::move(arg));
    return e;
  }

  Expr Sum() {
    Expr left = Product();
    for (;;) {
      std::string op = TakeOperator({"+", "-", "||"});
      if (op.empty()) return left;
      left = Binary(op, std::move(left), Product());
    }
  }

  Expr Product() {
    Expr left = Prefix();
    for (;;) {
      std::string op = TakeOperator({"*", "/", "%"});
      if (op.empty()) return left;
      left = Binary(op, std::move(left), Prefix());
    }
  }

  Expr Prefix() {
    bool negative = false;
    for (;;) {
      if (in_.TakeSymbol("-")) {
        negative = !negative;
      } else if (!in_.TakeSymbol("+")) {
        break;
      }
    }
    Expr e = Primary();
    while (in_.TakeSymbol("::")) {
      e = Unary(ExprKind::kCast, std::move(e));
      e.type = TypeOfName(ParseTypeName(&in_));
    }
    return negative ? Unary(ExprKind::kNegate, std::move(e)) : e;
  }

  std::string TakeOperator(std::initializer_list<std::string_view> ops) {
    for (std::string_view op : ops) {
      if (in_.TakeSymbol(op)) return std::string(op);
    }
    return "";
  }

  Expr Primary() {
    const Token& token = in_.Peek();
    switch (token.kind) {
      case TokenKind::kString:
        return Literal(Text(in_.Next().text));
      case TokenKind::kNumber:
        return Number();
      case TokenKind::kParam:
        return Param();
      case TokenKind::kWord:
      case TokenKind::kQuotedWord:
        return Word();
      case TokenKind::kSymbol:
        return Symbol();
      case TokenKind::kEnd:
        break;
    }
    in_.FailHere();
    return Expr();
  }

  Expr Symbol() {
    if (in_.TakeSymbol("(")) {
      Expr e = Or();
      in_.ExpectSymbol(")");
      return e;
    }
    if (in_.TakeSymbol("*")) return Make(ExprKind::kStar);
    in_.FailHere();
    return Expr();
  }

  Expr Number() {
    Value v = Text(in_.Next().text);
    v.type = ToInt(v) ? ValueType::kInt : ValueType::kNumeric;
    if (!ToDouble(v)) in_.Fail(SqlError{"42601", "invalid number"});
    return Literal(std::move(v));
  }

  Expr Param() {
    constexpr uint32_t kMaxParams = 65535;
    std::string text = in_.Next().text;
    Expr e = Make(ExprKind::kParam);
    std::from_chars(text.data(), text.data() + text.size(), e.index);
    if (e.index == 0 || e.index > kMaxParams) {
      in_.Fail(SqlError{"42P02", "there is no parameter $" + text});
    }
    return e;
  }

  Expr Word() {
    if (in_.Peek().kind == TokenKind::kWord) {
      if (in_.TakeWord("null")) return Literal(Null());
      if (in_.TakeWord("true")) return Literal(Bool(true));
      if (in_.TakeWord("false")) return Literal(Bool(false));
      if (in_.PeekWord("cast") && in_.PeekSymbol("(", 1)) return CastCall();
      if (in_.TakeWord("case")) return Case();
      if (IsBareFunction(in_.Peek().text)) {
        return Make(ExprKind::kCall, in_.Next().text);
      }
      if (IsReserved(in_.Peek().text)) {
        in_.FailHere();
        return Expr();
      }
    }
    std::string name = in_.ExpectName();
    if (in_.PeekSymbol("(")) return Call(std::move(name));
    if (!in_.TakeSymbol(".")) return Make(ExprKind::kColumn, std::move(name));
    if (in_.TakeSymbol("*")) return Make(ExprKind::kStar);
    std::string member = in_.ExpectName();
    if (in_.PeekSymbol("(")) return Call(std::move(member));
    bool excluded = name == "excluded";
    return Make(excluded ? ExprKind::kExcluded : ExprKind::kColumn,
                std::move(member));
  }

  Expr Call(std::string name) {
    Expr e = Make(ExprKind::kCall, std::move(name));
    e.args = ParseExprList(&in_);
    return e;
  }

  Expr CastCall() {
    in_.Next();
    in_.ExpectSymbol("(");
    Expr e = Unary(ExprKind::kCast, Or());
    in_.ExpectWord("as");
    e.type = TypeOfName(ParseTypeName(&in_));
    in_.ExpectSymbol(")");
    return e;
  }

  Expr Case() {
    Expr e = Make(ExprKind::kCase);
    while (in_.TakeWord("when")) {
      e.args.push_back(Or());
      in_.ExpectWord("then");
      e.args.push_back(Or());
    }
    if (in_.TakeWord("else")) e.args.push_back(Or());
    in_.ExpectWord("end");
    return e;
  }

  static bool IsBareFunction(std::string_view word) {
    constexpr std::array<std::string_view, 5> kFunctions = {
        "current_user", "session_user", "current_timestamp", "user",
        "current_database"};
    return word != "current_database" &&
           std::find(kFunctions.begin(), kFunctions.end(), word) !=
               kFunctions.end();
  }

  static bool IsReserved(std::string_view word) {
    constexpr std::array<std::string_view, 20> kReserved = {
        "select", "from", "where", "order", "limit",  "group", "having",
        "union",  "and",  "or",    "not",   "as",     "for",   "offset",
        "when",   "then", "else",  "end",   "create", "table",
    };
    return std::find(kReserved.begin(), kReserved.end(), word) !=
           kReserved.end();
  }

  TokenCursor& in_;
  int depth_ = 0;
};

}  // namespace

Expr ParseExpr(TokenCursor* cursor) { return ExprParser(cursor).Or(); }

std::vector<Expr> ParseExprList(TokenCursor* cursor) {
  std::vector<Expr> list;
  cursor->ExpectSymbol("(");
  if (cursor->TakeSymbol(")")) return list;
  do {
    list.push_back(ParseExpr(cursor));
  } while (cursor->TakeSymbol(","));
  cursor->ExpectSymbol(")");
  return list;
}

std::string ParseTableName(TokenCursor* cursor) {
  std::string name = cursor->ExpectName();
  while (cursor->TakeSymbol(".")) name += "." + cursor->ExpectName();
  constexpr std::string_view kPublic = "public.";
  if (name.starts_with(kPublic)) name.erase(0, kPublic.size());
  return name;
}

std::string ParseTypeName(TokenCursor* cursor) {
  std::string name = cursor->ExpectName();
  if (name == "double") cursor->TakeWord("precision");
  if (name == "character") cursor->TakeWord("varying");
  if (cursor->TakeSymbol("(")) {
    while (!cursor->AtEnd() && !cursor->PeekSymbol(")")) cursor->Next();
    cursor->ExpectSymbol(")");
  }
  if (cursor->TakeWords("with", "time")) cursor->ExpectWord("zone");
  if (cursor->TakeWords("without", "time")) cursor->ExpectWord("zone");
  while (cursor->TakeSymbol("[")) cursor->ExpectSymbol("]");
  return name;
}

std::string DefaultName(const Expr& expr) {
  if (expr.kind == ExprKind::kColumn) return expr.text;
  if (expr.kind == ExprKind::kCall) return expr.text;
  if (expr.kind == ExprKind::kCase) return "case";
  if (expr.kind == ExprKind::kCast) return DefaultName(expr.args[0]);
  if (expr.kind != ExprKind::kLiteral) return "?column?";
  return expr.literal.type == ValueType::kBool ? "bool" : "?column?";
}

uint32_t HighestParam(const Expr& expr) {
  uint32_t highest = expr.kind == ExprKind::kParam ? expr.index : 0;
  for (const Expr& arg : expr.args) {
    highest = std::max(highest, HighestParam(arg));
  }
  return highest;
}

}  // namespace cardamomchute::standin
