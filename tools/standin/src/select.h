/// Runs SELECT over a store view.
#ifndef CARDAMOMCHUTE_STANDIN_SELECT_H_
#define CARDAMOMCHUTE_STANDIN_SELECT_H_

#include <string>
#include <utility>
#include <vector>

#include "ast.h"
#include "eval.h"
#include "execution.h"
#include "store.h"

namespace cardamomchute::standin {

/// What a statement runs with.
struct RunContext {
  StoreView view;
  std::vector<Value> params;
  CallFunction call;
};

using KeyedRow = std::pair<std::string, RowPtr>;

/// 42P01 when there is none.
SqlResult<const TableDef*> FindTable(const StoreView& view,
                                     const std::string& name);

/// The rows of `table` for which `where` holds, by key where it names one.
SqlResult<std::vector<KeyedRow>> MatchRows(const RunContext& context,
                                           const TableDef& table,
                                           const std::optional<Expr>& where);

SqlResult<std::vector<ResultColumn>> SelectColumns(const StoreView& view,
                                                   const Select& select);
std::vector<ResultColumn> ItemColumns(const std::vector<SelectItem>& items,
                                      const TableDef* table);

/// One output row of `items`.
SqlResult<Row> Project(const std::vector<SelectItem>& items,
                       const Scope& scope);

/// The source keeps what it needs of `context`; rows are those of now.
SqlResult<RowSource> RunSelect(std::shared_ptr<const RunContext> context,
                               StatementPtr keep_alive, const Select& select);

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_SELECT_H_
