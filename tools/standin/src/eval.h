/// Evaluates expressions over a row, or over all rows for aggregates.
#ifndef CARDAMOMCHUTE_STANDIN_EVAL_H_
#define CARDAMOMCHUTE_STANDIN_EVAL_H_

#include <functional>
#include <string>
#include <vector>

#include "ast.h"
#include "store.h"

namespace cardamomchute::standin {

/// Runs a function that needs the session or the member.
using CallFunction = std::function<SqlResult<Value>(
    const std::string& name, const std::vector<Value>& args)>;

/// What names in an expression stand for. Pointers may be null.
struct Scope {
  const TableDef* table = nullptr;
  const Row* row = nullptr;
  const Row* excluded = nullptr;
  /// All rows, while an aggregate is evaluated.
  const std::vector<RowPtr>* group = nullptr;
  const std::vector<Value>* params = nullptr;
  const CallFunction* call = nullptr;
};

SqlResult<Value> Evaluate(const Expr& expr, const Scope& scope);

/// Whether `expr` holds count, sum, min or max.
bool HasAggregate(const Expr& expr);

/// The type of `expr` as far as it is known without running it.
ValueType TypeOf(const Expr& expr, const TableDef* table);

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_EVAL_H_
