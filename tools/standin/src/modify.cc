#include "modify.h"

#include <boost/outcome/try.hpp>

#include "parse_expr.h"
#include "token_cursor.h"

namespace cardamomchute::standin {
namespace {

Scope MakeScope(const ModifyContext& context, const TableDef& table,
                const Row* row) {
  Scope scope;
  scope.table = &table;
  scope.row = row;
  scope.params = &context.run->params;
  scope.call = &context.run->call;
  return scope;
}

bool Lock(const ModifyContext& context, const TableDef& table,
          const std::string& key, ModifyOutcome* outcome) {
  bool locked =
      context.member->locks().TryLock(context.transaction, table.name, key);
  if (!locked) outcome->blocked = BlockedRow{table.name, key};
  return locked;
}

SqlResult<void> CheckNotNull(const TableDef& table, const Row& row) {
  for (size_t i = 0; i < row.size(); ++i) {
    if (!row[i].null || !table.columns[i].not_null) continue;
    return SqlError{"23502", "null value in column \"" + table.columns[i].name +
                                 "\" violates not-null constraint"};
  }
  return SqlOk();
}

SqlError Duplicate(const TableDef& table) {
  return SqlError{"23505", "duplicate key value violates unique constraint \"" +
                               table.name + "_pkey\""};
}

SqlResult<Row> Assign(const ModifyContext& context, const TableDef& table,
                      const std::vector<Assignment>& assignments,
                      const Row& old, const Row* excluded) {
  Row row = old;
  Scope scope = MakeScope(context, table, &old);
  scope.excluded = excluded;
  for (const Assignment& a : assignments) {
    std::optional<size_t> index = table.ColumnIndex(a.column);
    if (!index) {
      return SqlError{"42703", "column \"" + a.column + "\" does not exist"};
    }
    BOOST_OUTCOME_TRY(value, Evaluate(a.value, scope));
    BOOST_OUTCOME_TRY(cast, Cast(std::move(value), table.columns[*index].type));
    row[*index] = std::move(cast);
  }
  BOOST_OUTCOME_TRY(CheckNotNull(table, row));
  return row;
}

SqlResult<void> Return(const ModifyContext& context, const TableDef& table,
                       const std::vector<SelectItem>& items, const Row& row,
                       ModifyOutcome* outcome) {
  ++outcome->count;
  if (items.empty()) return SqlOk();
  BOOST_OUTCOME_TRY(projected, Project(items, MakeScope(context, table, &row)));
  outcome->returned.push_back(std::move(projected));
  return SqlOk();
}

/// Where each given value goes.
SqlResult<std::vector<size_t>> Targets(const TableDef& table,
                                       const Insert& insert) {
  std::vector<size_t> targets;
  for (const std::string& name : insert.columns) {
    std::optional<size_t> index = table.ColumnIndex(name);
    if (!index) {
      return SqlError{"42703", "column \"" + name + "\" of relation \"" +
                                   table.name + "\" does not exist"};
    }
    targets.push_back(*index);
  }
  if (!insert.columns.empty()) return targets;
  for (size_t i = 0; i < table.columns.size(); ++i) targets.push_back(i);
  return targets;
}

SqlResult<Value> Default(const ModifyContext& context,
                         const ColumnDef& column) {
  if (column.default_sql.empty()) return Null();
  BOOST_OUTCOME_TRY(tokens, Tokenize(column.default_sql));
  TokenCursor cursor(column.default_sql, std::move(tokens));
  Expr expr = ParseExpr(&cursor);
  Scope scope;
  scope.call = &context.run->call;
  BOOST_OUTCOME_TRY(value, Evaluate(expr, scope));
  return Cast(std::move(value), column.type);
}

SqlResult<Row> Complete(const ModifyContext& context, const TableDef& table,
                        const std::vector<size_t>& targets, Row given) {
  if (given.size() > targets.size()) {
    return SqlError{"42601", "INSERT has more expressions than target columns"};
  }
  Row row(table.columns.size());
  std::vector<bool> set(row.size(), false);
  for (size_t i = 0; i < given.size(); ++i) {
    size_t target = targets[i];
    BOOST_OUTCOME_TRY(cast,
                      Cast(std::move(given[i]), table.columns[target].type));
    row[target] = std::move(cast);
    set[target] = true;
  }
  for (size_t i = 0; i < row.size(); ++i) {
    if (set[i]) continue;
    BOOST_OUTCOME_TRY(value, Default(context, table.columns[i]));
    row[i] = std::move(value);
  }
  BOOST_OUTCOME_TRY(CheckNotNull(table, row));
  return row;
}

SqlResult<std::vector<Row>> GivenRows(const ModifyContext& context,
                                      const Insert& insert,
                                      const StatementPtr& statement) {
  std::vector<Row> rows;
  if (!insert.select) {
    Scope scope;
    scope.params = &context.run->params;
    scope.call = &context.run->call;
    for (const std::vector<Expr>& list : insert.values) {
      Row row;
      for (const Expr& expr : list) {
        BOOST_OUTCOME_TRY(value, Evaluate(expr, scope));
        row.push_back(std::move(value));
      }
      rows.push_back(std::move(row));
    }
    return rows;
  }
  std::shared_ptr<const RunContext> run(std::shared_ptr<const RunContext>(),
                                        context.run);
  BOOST_OUTCOME_TRY(source, RunSelect(run, statement, *insert.select));
  for (;;) {
    Row row;
    BOOST_OUTCOME_TRY(more, source(&row));
    if (!more) return rows;
    rows.push_back(std::move(row));
  }
}

SqlResult<void> InsertRow(const ModifyContext& context, const TableDef& table,
                          const Insert& insert, Row row,
                          ModifyOutcome* outcome) {
  std::string key =
      table.key.empty() ? context.member->NextRowKey() : table.KeyOf(row);
  RowPtr existing =
      table.key.empty() ? nullptr : context.run->view.Get(table.name, key);
  if (existing && insert.on_conflict == OnConflict::kNothing) return SqlOk();
  if (existing && insert.on_conflict == OnConflict::kError) {
    return Duplicate(table);
  }
  if (existing) {
    BOOST_OUTCOME_TRY(updated,
                      Assign(context, table, insert.updates, *existing, &row));
    row = std::move(updated);
  }
  context.overlay->Put(table.name, key, row);
  return Return(context, table, insert.returning, row, outcome);
}

/// Locks all that matches; false when one of them is blocked.
SqlResult<std::vector<KeyedRow>> MatchAndLock(const ModifyContext& context,
                                              const TableDef& table,
                                              const std::optional<Expr>& where,
                                              ModifyOutcome* outcome) {
  BOOST_OUTCOME_TRY(rows, MatchRows(*context.run, table, where));
  for (const KeyedRow& row : rows) {
    if (!Lock(context, table, row.first, outcome)) break;
  }
  return rows;
}

}  // namespace

SqlResult<ModifyOutcome> TryInsert(const ModifyContext& context,
                                   const Insert& insert,
                                   const StatementPtr& statement) {
  ModifyOutcome outcome;
  BOOST_OUTCOME_TRY(found, FindTable(context.run->view, insert.table));
  TableDef table = *found;
  BOOST_OUTCOME_TRY(targets, Targets(table, insert));
  BOOST_OUTCOME_TRY(given, GivenRows(context, insert, statement));
  std::vector<Row> rows;
  for (Row& values : given) {
    BOOST_OUTCOME_TRY(row,
                      Complete(context, table, targets, std::move(values)));
    if (!table.key.empty() &&
        !Lock(context, table, table.KeyOf(row), &outcome)) {
      return outcome;
    }
    rows.push_back(std::move(row));
  }
  for (Row& row : rows) {
    BOOST_OUTCOME_TRY(
        InsertRow(context, table, insert, std::move(row), &outcome));
  }
  return outcome;
}

SqlResult<ModifyOutcome> TryUpdate(const ModifyContext& context,
                                   const Update& update) {
  ModifyOutcome outcome;
  BOOST_OUTCOME_TRY(found, FindTable(context.run->view, update.table));
  TableDef table = *found;
  BOOST_OUTCOME_TRY(rows, MatchAndLock(context, table, update.where, &outcome));
  if (outcome.blocked) return outcome;
  std::vector<KeyedRow> updated;
  for (const KeyedRow& old : rows) {
    BOOST_OUTCOME_TRY(
        row, Assign(context, table, update.assignments, *old.second, nullptr));
    std::string key = table.key.empty() ? old.first : table.KeyOf(row);
    if (!Lock(context, table, key, &outcome)) return outcome;
    updated.emplace_back(key, std::make_shared<const Row>(std::move(row)));
  }
  for (size_t i = 0; i < rows.size(); ++i) {
    const auto& [key, row] = updated[i];
    if (key != rows[i].first) {
      if (context.run->view.Get(table.name, key)) return Duplicate(table);
      context.overlay->Erase(table.name, rows[i].first);
    }
    context.overlay->Put(table.name, key, *row);
    BOOST_OUTCOME_TRY(Return(context, table, update.returning, *row, &outcome));
  }
  return outcome;
}

SqlResult<ModifyOutcome> TryDelete(const ModifyContext& context,
                                   const Delete& del) {
  ModifyOutcome outcome;
  BOOST_OUTCOME_TRY(found, FindTable(context.run->view, del.table));
  TableDef table = *found;
  BOOST_OUTCOME_TRY(rows, MatchAndLock(context, table, del.where, &outcome));
  if (outcome.blocked) return outcome;
  for (const KeyedRow& row : rows) {
    context.overlay->Erase(table.name, row.first);
    BOOST_OUTCOME_TRY(
        Return(context, table, del.returning, *row.second, &outcome));
  }
  return outcome;
}

SqlResult<ModifyOutcome> TryLockRows(const ModifyContext& context,
                                     const Select& select) {
  ModifyOutcome outcome;
  BOOST_OUTCOME_TRY(found, FindTable(context.run->view, select.table));
  TableDef table = *found;
  BOOST_OUTCOME_TRY(MatchAndLock(context, table, select.where, &outcome));
  return outcome;
}

}  // namespace cardamomchute::standin
