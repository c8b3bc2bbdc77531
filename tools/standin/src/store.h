/// Tables in memory, and a transaction's own changes laid over them.
#ifndef CARDAMOMCHUTE_STANDIN_STORE_H_
#define CARDAMOMCHUTE_STANDIN_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "value.h"

namespace cardamomchute::standin {

struct ColumnDef {
  std::string name;
  ValueType type = ValueType::kText;
  bool not_null = false;
  std::string default_sql;  ///< empty: none
  MSGPACK_DEFINE(name, type, not_null, default_sql)
};

struct TableDef {
  std::string name;
  std::vector<ColumnDef> columns;
  std::vector<uint32_t> key;  ///< columns of the primary key
  MSGPACK_DEFINE(name, columns, key)

  std::optional<size_t> ColumnIndex(std::string_view column) const;
  /// The row's place in its table; empty when the table has no key.
  std::string KeyOf(const Row& row) const;
};

enum class ChangeKind : uint8_t { kPut = 0, kErase, kCreate, kDrop };

}  // namespace cardamomchute::standin

MSGPACK_ADD_ENUM(cardamomchute::standin::ChangeKind)

namespace cardamomchute::standin {

/// One effect of a committed transaction, as replicas replay it.
struct Change {
  ChangeKind kind = ChangeKind::kPut;
  std::string table;
  std::string key;
  Row row;
  TableDef def;
  MSGPACK_DEFINE(kind, table, key, row, def)
};

struct Table {
  TableDef def;
  std::map<std::string, RowPtr> rows;
};

/// What is committed (and replayed).
struct Store {
  std::map<std::string, Table> tables;

  void Apply(const Change& change);
};

/// What a transaction changed and has not committed.
struct Overlay {
  std::map<std::string, std::optional<TableDef>> tables;
  /// A null row is erased.
  std::map<std::string, std::map<std::string, RowPtr>> rows;

  bool empty() const { return tables.empty() && rows.empty(); }
  void Put(const std::string& table, const std::string& key, Row row);
  void Erase(const std::string& table, const std::string& key);
  void Create(const TableDef& def);
  void Drop(const std::string& table);
  /// The changes in an order that can be replayed.
  std::vector<Change> Changes() const;
};

/// A store as one transaction sees it.
class StoreView {
 public:
  using Visitor = std::function<void(const std::string& key, const RowPtr&)>;

  StoreView(const Store* store, const Overlay* overlay)
      : store_(store), overlay_(overlay) {}

  /// Null when there is none of that name.
  const TableDef* FindTable(const std::string& name) const;
  /// Null when there is none of that key.
  RowPtr Get(const std::string& table, const std::string& key) const;
  void ForEach(const std::string& table, const Visitor& visit) const;

 private:
  const Table* Base(const std::string& table) const;

  const Store* store_;
  const Overlay* overlay_;
};

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_STORE_H_
