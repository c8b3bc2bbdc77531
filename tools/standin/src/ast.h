/// Parsed statements of the stand-in's SQL.
#ifndef CARDAMOMCHUTE_STANDIN_AST_H_
#define CARDAMOMCHUTE_STANDIN_AST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "store.h"
#include "value.h"

namespace cardamomchute::standin {

enum class ExprKind {
  kLiteral,
  kColumn,    ///< text: name
  kExcluded,  ///< EXCLUDED.text
  kParam,     ///< index, from 1
  kStar,      ///< the * of SELECT * and count(*)
  kCall,      ///< text: function
  kNot,
  kNegate,
  kIsNull,
  kBinary,  ///< text: operator
  kIn,      ///< args[0] IN (args[1], ...)
  kCast,    ///< to `type`
  kCase     ///< WHEN, THEN pairs; an odd last one is ELSE
};

struct Expr {
  ExprKind kind = ExprKind::kLiteral;
  Value literal;
  std::string text;
  uint32_t index = 0;
  ValueType type = ValueType::kText;
  std::vector<Expr> args;
};

struct SelectItem {
  Expr expr;
  std::string name;
};

struct OrderItem {
  Expr expr;
  bool descending = false;
};

struct Assignment {
  std::string column;
  Expr value;
};

/// FROM generate_series(from, to).
struct Series {
  Expr from;
  Expr to;
  std::string column = "generate_series";
};

struct Select {
  std::vector<SelectItem> items;
  std::string table;  ///< empty: none
  std::optional<Series> series;
  std::optional<Expr> where;
  std::vector<OrderItem> order;
  std::optional<Expr> limit;
  std::optional<Expr> offset;
  bool for_update = false;
};

enum class OnConflict { kError, kNothing, kUpdate };

struct Insert {
  std::string table;
  std::vector<std::string> columns;  ///< empty: all, in order
  std::vector<std::vector<Expr>> values;
  std::optional<Select> select;
  OnConflict on_conflict = OnConflict::kError;
  std::vector<Assignment> updates;
  std::vector<SelectItem> returning;
};

struct Update {
  std::string table;
  std::vector<Assignment> assignments;
  std::optional<Expr> where;
  std::vector<SelectItem> returning;
};

struct Delete {
  std::string table;
  std::optional<Expr> where;
  std::vector<SelectItem> returning;
};

struct CreateTable {
  TableDef def;
  bool if_not_exists = false;
};

struct DropTable {
  std::string table;
  bool if_exists = false;
};

struct Truncate {
  std::string table;
};

/// CREATE SCHEMA: accepted, since table names keep their schema as a prefix.
struct CreateSchema {};

struct Set {
  std::string name;
  std::optional<std::string> value;  ///< absent: DEFAULT
  bool local = false;
};

struct Show {
  std::string name;
};

struct Reset {
  std::string name;  ///< empty: ALL
};

struct Begin {
  bool read_only = false;
};

/// SET TRANSACTION and SET SESSION CHARACTERISTICS.
struct SetTransaction {
  std::optional<bool> read_only;
};

struct Commit {};
struct Rollback {};

enum class SavepointAction { kSet, kRollbackTo, kRelease };

struct Savepoint {
  SavepointAction action = SavepointAction::kSet;
  std::string name;
};

enum class DiscardScope { kAll, kPlans, kOther };

struct Discard {
  DiscardScope scope = DiscardScope::kAll;
};

struct Prepare;

struct ExecutePrepared {
  std::string name;
  std::vector<Expr> args;
};

struct Deallocate {
  std::string name;  ///< empty: ALL
};

/// ALTER SYSTEM SET primary_conninfo = '...'.
struct AlterSystem {
  std::string name;
  std::string value;
};

/// pgwire::kProbeSql.
struct Probe {};

struct Statement {
  std::variant<Select, Insert, Update, Delete, CreateTable, DropTable, Truncate,
               CreateSchema, Set, Show, Reset, Begin, SetTransaction, Commit,
               Rollback, Savepoint, Discard, std::shared_ptr<const Prepare>,
               ExecutePrepared, Deallocate, AlterSystem, Probe>
      body;
  uint32_t params = 0;  ///< the highest $n
};

using StatementPtr = std::shared_ptr<const Statement>;

/// PREPARE name AS statement.
struct Prepare {
  std::string name;
  StatementPtr statement;
};

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_AST_H_
