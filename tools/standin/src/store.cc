#include "store.h"

namespace cardamomchute::standin {
namespace {

constexpr char kKeySeparator = '\x1f';

Change RowChange(const std::string& table, const std::string& key,
                 const RowPtr& row) {
  Change change;
  change.kind = row ? ChangeKind::kPut : ChangeKind::kErase;
  change.table = table;
  change.key = key;
  if (row) change.row = *row;
  return change;
}

}  // namespace

std::optional<size_t> TableDef::ColumnIndex(std::string_view column) const {
  for (size_t i = 0; i < columns.size(); ++i) {
    if (columns[i].name == column) return i;
  }
  return std::nullopt;
}

std::string TableDef::KeyOf(const Row& row) const {
  std::string text;
  for (size_t i = 0; i < key.size(); ++i) {
    if (i > 0) text.push_back(kKeySeparator);
    text += row[key[i]].text;
  }
  return text;
}

void Store::Apply(const Change& change) {
  switch (change.kind) {
    case ChangeKind::kPut:
      tables[change.table].rows[change.key] =
          std::make_shared<const Row>(change.row);
      return;
    case ChangeKind::kErase:
      tables[change.table].rows.erase(change.key);
      return;
    case ChangeKind::kCreate:
      tables[change.table] = Table{change.def, {}};
      return;
    case ChangeKind::kDrop:
      tables.erase(change.table);
      return;
  }
}

void Overlay::Put(const std::string& table, const std::string& key, Row row) {
  rows[table][key] = std::make_shared<const Row>(std::move(row));
}

void Overlay::Erase(const std::string& table, const std::string& key) {
  rows[table][key] = nullptr;
}

void Overlay::Create(const TableDef& def) {
  tables[def.name] = def;
  rows.erase(def.name);
}

void Overlay::Drop(const std::string& table) {
  tables[table] = std::nullopt;
  rows.erase(table);
}

std::vector<Change> Overlay::Changes() const {
  std::vector<Change> changes;
  for (const auto& [name, def] : tables) {
    changes.push_back(Change{ChangeKind::kDrop, name, "", {}, {}});
    if (def) {
      changes.push_back(Change{ChangeKind::kCreate, name, "", {}, *def});
    }
  }
  for (const auto& [name, table_rows] : rows) {
    for (const auto& [key, row] : table_rows) {
      changes.push_back(RowChange(name, key, row));
    }
  }
  return changes;
}

const Table* StoreView::Base(const std::string& table) const {
  if (overlay_ && overlay_->tables.contains(table)) return nullptr;
  auto found = store_->tables.find(table);
  return found == store_->tables.end() ? nullptr : &found->second;
}

const TableDef* StoreView::FindTable(const std::string& name) const {
  if (overlay_) {
    auto found = overlay_->tables.find(name);
    if (found != overlay_->tables.end()) {
      return found->second ? &*found->second : nullptr;
    }
  }
  const Table* base = Base(name);
  return base ? &base->def : nullptr;
}

RowPtr StoreView::Get(const std::string& table, const std::string& key) const {
  if (overlay_) {
    auto own = overlay_->rows.find(table);
    if (own != overlay_->rows.end()) {
      auto row = own->second.find(key);
      if (row != own->second.end()) return row->second;
    }
  }
  const Table* base = Base(table);
  if (!base) return nullptr;
  auto row = base->rows.find(key);
  return row == base->rows.end() ? nullptr : row->second;
}

void StoreView::ForEach(const std::string& table, const Visitor& visit) const {
  const std::map<std::string, RowPtr>* own = nullptr;
  if (overlay_) {
    auto found = overlay_->rows.find(table);
    if (found != overlay_->rows.end()) own = &found->second;
  }
  if (const Table* base = Base(table)) {
    for (const auto& [key, row] : base->rows) {
      if (!own || !own->contains(key)) visit(key, row);
    }
  }
  if (!own) return;
  for (const auto& [key, row] : *own) {
    if (row) visit(key, row);
  }
}

}  // namespace cardamomchute::standin
