#include "select.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <limits>
#include <set>

namespace cardamomchute::standin {
namespace {

/// Finds the row keys that `where` leaves over, when it names the columns of
/// the table's key: each equal to a constant, or a single one IN constants.
class KeyFinder {
 public:
  KeyFinder(const RunContext& context, const TableDef& table)
      : table_(table), key_(table.columns.size()) {
    scope_.params = &context.params;
    scope_.call = &context.call;
  }

  std::optional<std::vector<std::string>> Find(const Expr& where) {
    if (table_.key.empty()) return std::nullopt;
    Visit(where);
    if (listed_) return listed_;
    Row row(key_.size());
    for (uint32_t index : table_.key) {
      if (!key_[index]) return std::nullopt;
      row[index] = *key_[index];
    }
    return std::vector<std::string>{table_.KeyOf(row)};
  }

 private:
  void Visit(const Expr& e) {
    if (e.kind == ExprKind::kIn) return VisitIn(e);
    if (e.kind != ExprKind::kBinary) return;
    if (e.text == "and") {
      Visit(e.args[0]);
      Visit(e.args[1]);
    }
    if (e.text != "=") return;
    Take(e.args[0], e.args[1]);
    Take(e.args[1], e.args[0]);
  }

  void VisitIn(const Expr& e) {
    std::optional<size_t> index = ColumnOf(e.args[0]);
    if (!index || table_.key.size() != 1 || table_.key[0] != *index) return;
    std::set<std::string> keys;
    for (size_t i = 1; i < e.args.size(); ++i) {
      std::optional<Value> value = Constant(e.args[i], *index);
      if (!value) return;
      keys.insert(value->text);
    }
    listed_.emplace(keys.begin(), keys.end());
  }

  void Take(const Expr& column, const Expr& value) {
    std::optional<size_t> index = ColumnOf(column);
    if (!index) return;
    std::optional<Value> constant = Constant(value, *index);
    if (constant) key_[*index] = std::move(constant);
  }

  std::optional<size_t> ColumnOf(const Expr& e) const {
    if (e.kind != ExprKind::kColumn) return std::nullopt;
    return table_.ColumnIndex(e.text);
  }

  /// The value as the column holds it; nothing when it is none.
  std::optional<Value> Constant(const Expr& e, size_t column) const {
    bool constant = e.kind == ExprKind::kLiteral || e.kind == ExprKind::kParam;
    if (!constant) return std::nullopt;
    SqlResult<Value> v = Evaluate(e, scope_);
    if (!v || v.value().null) return std::nullopt;
    SqlResult<Value> cast = Cast(v.value(), table_.columns[column].type);
    if (!cast) return std::nullopt;
    return cast.value();
  }

  const TableDef& table_;
  Scope scope_;
  std::vector<std::optional<Value>> key_;
  std::optional<std::vector<std::string>> listed_;
};

Scope BaseScope(const RunContext& context, const TableDef* table) {
  Scope scope;
  scope.table = table;
  scope.params = &context.params;
  scope.call = &context.call;
  return scope;
}

SqlResult<bool> Matches(const std::optional<Expr>& where, const Scope& scope) {
  if (!where) return true;
  BOOST_OUTCOME_TRY(value, Evaluate(*where, scope));
  return IsTrue(value);
}

SqlResult<int64_t> Bound(const std::optional<Expr>& expr, const Scope& scope,
                         int64_t fallback) {
  if (!expr) return fallback;
  BOOST_OUTCOME_TRY(value, Evaluate(*expr, scope));
  if (value.null) return fallback;
  std::optional<int64_t> n = ToInt(value);
  if (!n || *n < 0) return SqlError{"2201W", "LIMIT must not be negative"};
  return *n;
}

/// An ORDER BY item may name an output column or its number.
const Expr& ResolveOrder(const OrderItem& item, const Select& select) {
  if (item.expr.kind == ExprKind::kLiteral) {
    std::optional<int64_t> n = ToInt(item.expr.literal);
    int64_t count = static_cast<int64_t>(select.items.size());
    if (n && *n >= 1 && *n <= count) {
      return select.items[static_cast<size_t>(*n - 1)].expr;
    }
  }
  if (item.expr.kind != ExprKind::kColumn) return item.expr;
  for (const SelectItem& output : select.items) {
    if (output.name == item.expr.text) return output.expr;
  }
  return item.expr;
}

struct SortKey {
  Row values;
  RowPtr row;
};

SqlResult<void> Sort(const Select& select, Scope scope,
                     std::vector<RowPtr>* rows) {
  if (select.order.empty()) return SqlOk();
  std::vector<SortKey> keys;
  for (RowPtr& row : *rows) {
    scope.row = row.get();
    SortKey key;
    for (const OrderItem& item : select.order) {
      BOOST_OUTCOME_TRY(value, Evaluate(ResolveOrder(item, select), scope));
      key.values.push_back(std::move(value));
    }
    key.row = std::move(row);
    keys.push_back(std::move(key));
  }
  auto less = [&select](const SortKey& a, const SortKey& b) {
    for (size_t i = 0; i < select.order.size(); ++i) {
      bool a_null = a.values[i].null;
      bool b_null = b.values[i].null;
      int order = a_null || b_null ? static_cast<int>(a_null) - b_null
                                   : Compare(a.values[i], b.values[i]);
      if (order != 0) return (order < 0) != select.order[i].descending;
    }
    return false;
  };
  std::stable_sort(keys.begin(), keys.end(), less);
  for (size_t i = 0; i < keys.size(); ++i) (*rows)[i] = keys[i].row;
  return SqlOk();
}

/// What a source keeps while its rows are read.
struct SelectState {
  std::shared_ptr<const RunContext> context;
  StatementPtr statement;
  const Select* select = nullptr;
  TableDef table;
  bool has_table = false;
  std::vector<RowPtr> rows;
  size_t next = 0;
  int64_t series_next = 0;
  int64_t series_end = 0;
  int64_t offset = 0;
  int64_t left = 0;

  Scope MakeScope() const {
    return BaseScope(*context, has_table ? &table : nullptr);
  }
};

using StatePtr = std::shared_ptr<SelectState>;

SqlResult<std::vector<RowPtr>> SeriesRows(SelectState* s) {
  std::vector<RowPtr> rows;
  Scope scope = s->MakeScope();
  for (int64_t i = s->series_next; i <= s->series_end; ++i) {
    RowPtr row = std::make_shared<const Row>(Row{Int(i)});
    scope.row = row.get();
    BOOST_OUTCOME_TRY(matches, Matches(s->select->where, scope));
    if (matches) rows.push_back(std::move(row));
  }
  return rows;
}

/// Rows of a series, made one by one so that any number of them can stream.
RowSource SeriesSource(StatePtr s) {
  return [s](Row* out) -> SqlResult<bool> {
    Scope scope = s->MakeScope();
    while (s->series_next <= s->series_end && s->left > 0) {
      Row row{Int(s->series_next++)};
      scope.row = &row;
      BOOST_OUTCOME_TRY(matches, Matches(s->select->where, scope));
      if (!matches) continue;
      if (s->offset > 0) {
        --s->offset;
        continue;
      }
      --s->left;
      BOOST_OUTCOME_TRY(projected, Project(s->select->items, scope));
      *out = std::move(projected);
      return true;
    }
    return false;
  };
}

RowSource RowsSource(StatePtr s) {
  return [s](Row* out) -> SqlResult<bool> {
    if (s->next >= s->rows.size() || s->left <= 0) return false;
    --s->left;
    RowPtr row = s->rows[s->next++];
    Scope scope = s->MakeScope();
    scope.row = row.get();
    BOOST_OUTCOME_TRY(projected, Project(s->select->items, scope));
    *out = std::move(projected);
    return true;
  };
}

/// One row: aggregates over all rows, or expressions over none.
SqlResult<RowSource> SingleSource(StatePtr s, bool aggregated) {
  Scope scope = s->MakeScope();
  if (aggregated) scope.group = &s->rows;
  BOOST_OUTCOME_TRY(row, Project(s->select->items, scope));
  bool any = s->left > 0 && s->offset == 0;
  if (!aggregated) {
    BOOST_OUTCOME_TRY(matches, Matches(s->select->where, scope));
    any = any && matches;
  }
  return RowSource([row, any](Row* out) mutable -> SqlResult<bool> {
    if (!any) return false;
    any = false;
    *out = std::move(row);
    return true;
  });
}

SqlResult<void> PrepareSeries(SelectState* s, const Series& series) {
  Scope scope = s->MakeScope();
  BOOST_OUTCOME_TRY(from, Evaluate(series.from, scope));
  BOOST_OUTCOME_TRY(to, Evaluate(series.to, scope));
  std::optional<int64_t> first = ToInt(from);
  std::optional<int64_t> last = ToInt(to);
  if (!first || !last) {
    return SqlError{"42883", "generate_series takes two integers"};
  }
  s->series_next = *first;
  s->series_end = std::min(*last, std::numeric_limits<int64_t>::max() - 1);
  s->table.columns.push_back(ColumnDef{series.column, ValueType::kInt});
  s->has_table = true;
  return SqlOk();
}

SqlResult<void> PrepareTable(SelectState* s) {
  BOOST_OUTCOME_TRY(table, FindTable(s->context->view, s->select->table));
  s->table = *table;
  s->has_table = true;
  BOOST_OUTCOME_TRY(matched, MatchRows(*s->context, *table, s->select->where));
  for (KeyedRow& row : matched) s->rows.push_back(std::move(row.second));
  return SqlOk();
}

bool AnyAggregate(const Select& select) {
  return std::any_of(
      select.items.begin(), select.items.end(),
      [](const SelectItem& item) { return HasAggregate(item.expr); });
}

}  // namespace

SqlResult<const TableDef*> FindTable(const StoreView& view,
                                     const std::string& name) {
  const TableDef* table = view.FindTable(name);
  if (table) return table;
  return SqlError{"42P01", "relation \"" + name + "\" does not exist"};
}

SqlResult<std::vector<KeyedRow>> MatchRows(const RunContext& context,
                                           const TableDef& table,
                                           const std::optional<Expr>& where) {
  std::vector<KeyedRow> matched;
  Scope scope = BaseScope(context, &table);
  // Names are checked even where there is no row to compare.
  BOOST_OUTCOME_TRY(Matches(where, scope));
  std::optional<std::vector<std::string>> keys;
  if (where) keys = KeyFinder(context, table).Find(*where);
  if (keys) {
    for (const std::string& key : *keys) {
      RowPtr row = context.view.Get(table.name, key);
      if (!row) continue;
      scope.row = row.get();
      BOOST_OUTCOME_TRY(matches, Matches(where, scope));
      if (matches) matched.emplace_back(key, row);
    }
    return matched;
  }
  std::optional<SqlError> failed;
  context.view.ForEach(table.name,
                       [&](const std::string& row_key, const RowPtr& row) {
                         if (failed) return;
                         scope.row = row.get();
                         SqlResult<bool> matches = Matches(where, scope);
                         if (!matches) failed = matches.error();
                         if (matches && matches.value())
                           matched.emplace_back(row_key, row);
                       });
  if (failed) return *failed;
  return matched;
}

std::vector<ResultColumn> ItemColumns(const std::vector<SelectItem>& items,
                                      const TableDef* table) {
  std::vector<ResultColumn> columns;
  for (const SelectItem& item : items) {
    if (item.expr.kind != ExprKind::kStar) {
      columns.push_back({item.name, TypeOf(item.expr, table)});
      continue;
    }
    if (!table) continue;
    for (const ColumnDef& c : table->columns) {
      columns.push_back({c.name, c.type});
    }
  }
  return columns;
}

SqlResult<std::vector<ResultColumn>> SelectColumns(const StoreView& view,
                                                   const Select& select) {
  if (select.series) {
    TableDef series;
    series.columns.push_back(ColumnDef{select.series->column, ValueType::kInt});
    return ItemColumns(select.items, &series);
  }
  if (select.table.empty()) return ItemColumns(select.items, nullptr);
  BOOST_OUTCOME_TRY(table, FindTable(view, select.table));
  return ItemColumns(select.items, table);
}

SqlResult<Row> Project(const std::vector<SelectItem>& items,
                       const Scope& scope) {
  Row row;
  for (const SelectItem& item : items) {
    if (item.expr.kind != ExprKind::kStar) {
      BOOST_OUTCOME_TRY(value, Evaluate(item.expr, scope));
      row.push_back(std::move(value));
      continue;
    }
    if (!scope.row) return SqlError{"42601", "SELECT * needs a table"};
    row.insert(row.end(), scope.row->begin(), scope.row->end());
  }
  return row;
}

SqlResult<RowSource> RunSelect(std::shared_ptr<const RunContext> context,
                               StatementPtr keep_alive, const Select& select) {
  StatePtr s = std::make_shared<SelectState>();
  s->context = std::move(context);
  s->statement = std::move(keep_alive);
  s->select = &select;
  Scope constant = s->MakeScope();
  BOOST_OUTCOME_TRY(limit, Bound(select.limit, constant,
                                 std::numeric_limits<int64_t>::max()));
  BOOST_OUTCOME_TRY(offset, Bound(select.offset, constant, 0));
  s->left = limit;
  s->offset = offset;
  bool aggregated = AnyAggregate(select);
  if (select.series) {
    BOOST_OUTCOME_TRY(PrepareSeries(s.get(), *select.series));
    if (!aggregated && select.order.empty()) return SeriesSource(s);
    BOOST_OUTCOME_TRY(rows, SeriesRows(s.get()));
    s->rows = std::move(rows);
  } else if (!select.table.empty()) {
    BOOST_OUTCOME_TRY(PrepareTable(s.get()));
  }
  if (aggregated || !s->has_table) return SingleSource(s, aggregated);
  BOOST_OUTCOME_TRY(Sort(select, s->MakeScope(), &s->rows));
  s->next = static_cast<size_t>(s->offset);
  return RowsSource(s);
}

}  // namespace cardamomchute::standin
