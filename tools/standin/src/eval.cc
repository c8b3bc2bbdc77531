#include "eval.h"

#include <algorithm>
#include <array>
#include <boost/outcome/try.hpp>

#include "functions.h"

namespace cardamomchute::standin {
namespace {

bool IsAggregate(const Expr& e) {
  constexpr std::array<std::string_view, 4> kNames = {"count", "sum", "min",
                                                      "max"};
  return e.kind == ExprKind::kCall &&
         std::find(kNames.begin(), kNames.end(), e.text) != kNames.end();
}

class Evaluator {
 public:
  explicit Evaluator(const Scope& scope) : scope_(scope) {}

  SqlResult<Value> Run(const Expr& e) {
    switch (e.kind) {
      case ExprKind::kLiteral:
        return e.literal;
      case ExprKind::kColumn:
        return Column(e.text, scope_.row);
      case ExprKind::kExcluded:
        return Column(e.text, scope_.excluded);
      case ExprKind::kParam:
        return Param(e.index);
      case ExprKind::kStar:
        return SqlError{"42601", "\"*\" is not allowed here"};
      case ExprKind::kCall:
        return Call(e);
      case ExprKind::kNot:
        return Not(e);
      case ExprKind::kNegate:
        return Negate(e);
      case ExprKind::kIsNull:
        return IsNull(e);
      case ExprKind::kBinary:
        return Binary(e);
      case ExprKind::kIn:
        return In(e);
      case ExprKind::kCast:
        return CastTo(e);
      case ExprKind::kCase:
        return Case(e);
    }
    return Null();
  }

 private:
  SqlResult<Value> Column(const std::string& name, const Row* row) {
    std::optional<size_t> index =
        scope_.table ? scope_.table->ColumnIndex(name) : std::nullopt;
    if (!index) {
      return SqlError{"42703", "column \"" + name + "\" does not exist"};
    }
    if (!row) return Null();
    return (*row)[*index];
  }

  SqlResult<Value> Param(uint32_t index) {
    if (!scope_.params || index > scope_.params->size()) {
      return SqlError{"42P02",
                      "there is no parameter $" + std::to_string(index)};
    }
    return (*scope_.params)[index - 1];
  }

  SqlResult<Value> Call(const Expr& e) {
    if (IsAggregate(e)) return Aggregate(e);
    std::vector<Value> args;
    for (const Expr& arg : e.args) {
      BOOST_OUTCOME_TRY(value, Run(arg));
      if (e.text == "coalesce" && !value.null) return value;
      args.push_back(std::move(value));
    }
    if (e.text == "coalesce") return Null();
    if (std::optional<SqlResult<Value>> v = CallPure(e.text, args)) return *v;
    if (scope_.call) return (*scope_.call)(e.text, args);
    return SqlError{"42883", "function " + e.text + " does not exist"};
  }

  SqlResult<Value> Aggregate(const Expr& e) {
    if (!scope_.group || e.args.size() != 1) {
      return SqlError{"42803", "aggregate functions are not allowed here"};
    }
    bool star = e.args[0].kind == ExprKind::kStar;
    if (star) return Int(static_cast<int64_t>(scope_.group->size()));
    Value result = e.text == "count" ? Int(0) : Null();
    Scope inner = scope_;
    inner.group = nullptr;
    for (const RowPtr& row : *scope_.group) {
      inner.row = row.get();
      BOOST_OUTCOME_TRY(value, Evaluate(e.args[0], inner));
      if (value.null) continue;
      BOOST_OUTCOME_TRY(next, Accumulate(e.text, std::move(result), value));
      result = std::move(next);
    }
    return result;
  }

  static SqlResult<Value> Accumulate(const std::string& name, Value so_far,
                                     const Value& value) {
    if (name == "count") return Arithmetic("+", so_far, Int(1));
    if (so_far.null) return value;
    if (name == "sum") return Arithmetic("+", so_far, value);
    bool less = Compare(value, so_far) < 0;
    return less == (name == "min") ? value : so_far;
  }

  SqlResult<Value> Not(const Expr& e) {
    BOOST_OUTCOME_TRY(value, Run(e.args[0]));
    return value.null ? Null() : Bool(!IsTrue(value));
  }

  SqlResult<Value> Negate(const Expr& e) {
    BOOST_OUTCOME_TRY(value, Run(e.args[0]));
    return Arithmetic("-", Int(0), value);
  }

  SqlResult<Value> IsNull(const Expr& e) {
    BOOST_OUTCOME_TRY(value, Run(e.args[0]));
    return Bool(value.null);
  }

  SqlResult<Value> Binary(const Expr& e) {
    if (e.text == "and" || e.text == "or") return Logic(e);
    BOOST_OUTCOME_TRY(a, Run(e.args[0]));
    BOOST_OUTCOME_TRY(b, Run(e.args[1]));
    bool compares = e.text[0] == '<' || e.text[0] == '>' || e.text[0] == '=';
    if (!compares) return Arithmetic(e.text, a, b);
    if (a.null || b.null) return Null();
    return Bool(Holds(e.text, Compare(a, b)));
  }

  static bool Holds(const std::string& op, int order) {
    if (op == "=") return order == 0;
    if (op == "<>") return order != 0;
    if (op == "<") return order < 0;
    if (op == ">") return order > 0;
    return op == "<=" ? order <= 0 : order >= 0;
  }

  /// Three-valued AND and OR.
  SqlResult<Value> Logic(const Expr& e) {
    bool decisive = e.text == "or";
    BOOST_OUTCOME_TRY(a, Run(e.args[0]));
    if (!a.null && IsTrue(a) == decisive) return Bool(decisive);
    BOOST_OUTCOME_TRY(b, Run(e.args[1]));
    if (!b.null && IsTrue(b) == decisive) return Bool(decisive);
    return a.null || b.null ? Null() : Bool(!decisive);
  }

  SqlResult<Value> In(const Expr& e) {
    BOOST_OUTCOME_TRY(wanted, Run(e.args[0]));
    if (wanted.null) return Null();
    for (size_t i = 1; i < e.args.size(); ++i) {
      BOOST_OUTCOME_TRY(value, Run(e.args[i]));
      if (!value.null && Compare(wanted, value) == 0) return Bool(true);
    }
    return Bool(false);
  }

  SqlResult<Value> CastTo(const Expr& e) {
    BOOST_OUTCOME_TRY(value, Run(e.args[0]));
    return Cast(std::move(value), e.type);
  }

  SqlResult<Value> Case(const Expr& e) {
    for (size_t i = 0; i + 1 < e.args.size(); i += 2) {
      BOOST_OUTCOME_TRY(when, Run(e.args[i]));
      if (IsTrue(when)) return Run(e.args[i + 1]);
    }
    if (e.args.size() % 2 == 1) return Run(e.args.back());
    return Null();
  }

  const Scope& scope_;
};

}  // namespace

SqlResult<Value> Evaluate(const Expr& expr, const Scope& scope) {
  return Evaluator(scope).Run(expr);
}

bool HasAggregate(const Expr& expr) {
  if (IsAggregate(expr)) return true;
  return std::any_of(expr.args.begin(), expr.args.end(), HasAggregate);
}

ValueType TypeOf(const Expr& expr, const TableDef* table) {
  switch (expr.kind) {
    case ExprKind::kLiteral:
      return expr.literal.type;
    case ExprKind::kColumn: {
      std::optional<size_t> index =
          table ? table->ColumnIndex(expr.text) : std::nullopt;
      return index ? table->columns[*index].type : ValueType::kText;
    }
    case ExprKind::kNot:
    case ExprKind::kIsNull:
    case ExprKind::kIn:
      return ValueType::kBool;
    case ExprKind::kCast:
      return expr.type;
    case ExprKind::kNegate:
      return TypeOf(expr.args[0], table);
    case ExprKind::kCall:
      if (expr.text == "count") return ValueType::kInt;
      if (IsAggregate(expr)) return TypeOf(expr.args.at(0), table);
      if (expr.text == "coalesce" && !expr.args.empty()) {
        return TypeOf(expr.args[0], table);
      }
      return ReturnTypeOf(expr.text);
    case ExprKind::kBinary: {
      if (expr.text == "||") return ValueType::kText;
      bool arithmetic =
          std::string_view("+-*/%").find(expr.text) != std::string_view::npos;
      if (!arithmetic) return ValueType::kBool;
      ValueType left = TypeOf(expr.args[0], table);
      return left == ValueType::kText ? ValueType::kInt : left;
    }
    default:
      return ValueType::kText;
  }
}

}  // namespace cardamomchute::standin
