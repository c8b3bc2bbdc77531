#include "parse_data.h"

#include <algorithm>
#include <array>

#include "parse_expr.h"

namespace cardamomchute::standin {
namespace {

class DataParser {
 public:
  explicit DataParser(TokenCursor* cursor) : in_(*cursor) {}

  bool Run(Statement* out) {
    if (in_.PeekWord("select")) {
      out->body = ParseSelect();
    } else if (in_.PeekWord("insert")) {
      out->body = ParseInsert();
    } else if (in_.PeekWord("update")) {
      out->body = ParseUpdate();
    } else if (in_.PeekWord("delete")) {
      out->body = ParseDelete();
    } else if (in_.PeekWord("create")) {
      ParseCreate(out);
    } else if (in_.PeekWord("drop")) {
      out->body = ParseDrop();
    } else if (in_.TakeWord("truncate")) {
      in_.TakeWord("table");
      out->body = Truncate{ParseTableName(&in_)};
    } else {
      return false;
    }
    out->params = params_;
    return true;
  }

 private:
  Expr Parse() {
    Expr e = ParseExpr(&in_);
    params_ = std::max(params_, HighestParam(e));
    return e;
  }

  std::vector<SelectItem> Items() {
    std::vector<SelectItem> items;
    do {
      SelectItem item;
      item.expr = Parse();
      item.name = DefaultName(item.expr);
      bool bare = in_.Peek().kind == TokenKind::kQuotedWord ||
                  (in_.Peek().kind == TokenKind::kWord && !IsClause());
      if (in_.TakeWord("as") || bare) item.name = in_.ExpectName();
      items.push_back(std::move(item));
    } while (in_.TakeSymbol(","));
    return items;
  }

  bool IsClause() const {
    constexpr std::array<std::string_view, 10> kClauses = {
        "from", "where", "order", "limit",  "offset",
        "for",  "as",    "on",    "having", "returning"};
    return std::find(kClauses.begin(), kClauses.end(), in_.Peek().text) !=
           kClauses.end();
  }

  Select ParseSelect() {
    Select select;
    in_.ExpectWord("select");
    select.items = Items();
    if (in_.TakeWord("from")) From(&select);
    if (in_.TakeWord("where")) select.where = Parse();
    if (in_.TakeWords("order", "by")) Order(&select);
    for (;;) {
      if (in_.TakeWord("limit")) {
        if (!in_.TakeWord("all")) select.limit = Parse();
      } else if (in_.TakeWord("offset")) {
        select.offset = Parse();
      } else {
        break;
      }
    }
    if (in_.TakeWord("for")) {
      if (!in_.TakeWord("share")) in_.ExpectWord("update");
      select.for_update = true;
    }
    return select;
  }

  void From(Select* select) {
    if (in_.PeekWord("generate_series") && in_.PeekSymbol("(", 1)) {
      in_.Next();
      in_.Next();
      Series series;
      series.from = Parse();
      in_.ExpectSymbol(",");
      series.to = Parse();
      in_.ExpectSymbol(")");
      std::string alias = Alias();
      if (!alias.empty()) series.column = alias;
      if (in_.TakeSymbol("(")) {
        series.column = in_.ExpectName();
        in_.ExpectSymbol(")");
      }
      select->series = std::move(series);
      return;
    }
    select->table = ParseTableName(&in_);
    Alias();
  }

  std::string Alias() {
    if (in_.TakeWord("as")) return in_.ExpectName();
    bool bare = in_.Peek().kind == TokenKind::kWord && !IsClause() &&
                !in_.PeekWord("set") && !in_.PeekWord("values") &&
                !in_.PeekWord("select");
    return bare ? in_.Next().text : "";
  }

  void Order(Select* select) {
    do {
      OrderItem item;
      item.expr = Parse();
      if (in_.TakeWord("desc")) {
        item.descending = true;
      } else {
        in_.TakeWord("asc");
      }
      select->order.push_back(std::move(item));
    } while (in_.TakeSymbol(","));
  }

  Insert ParseInsert() {
    Insert insert;
    in_.Next();
    in_.ExpectWord("into");
    insert.table = ParseTableName(&in_);
    if (in_.TakeSymbol("(")) insert.columns = NamesToClose();
    if (in_.PeekWord("select")) {
      insert.select = ParseSelect();
    } else {
      in_.ExpectWord("values");
      do {
        insert.values.push_back(ParseExprList(&in_));
        CountParams(insert.values.back());
      } while (in_.TakeSymbol(","));
    }
    if (in_.TakeWords("on", "conflict")) Conflict(&insert);
    insert.returning = Returning();
    return insert;
  }

  void CountParams(const std::vector<Expr>& list) {
    for (const Expr& e : list) params_ = std::max(params_, HighestParam(e));
  }

  std::vector<std::string> NamesToClose() {
    std::vector<std::string> names;
    do {
      names.push_back(in_.ExpectName());
    } while (in_.TakeSymbol(","));
    in_.ExpectSymbol(")");
    return names;
  }

  void Conflict(Insert* insert) {
    if (in_.TakeSymbol("(")) NamesToClose();
    in_.ExpectWord("do");
    if (in_.TakeWord("nothing")) {
      insert->on_conflict = OnConflict::kNothing;
      return;
    }
    in_.ExpectWord("update");
    insert->on_conflict = OnConflict::kUpdate;
    insert->updates = Assignments();
  }

  std::vector<Assignment> Assignments() {
    std::vector<Assignment> list;
    in_.ExpectWord("set");
    do {
      Assignment a;
      a.column = in_.ExpectName();
      in_.ExpectSymbol("=");
      a.value = Parse();
      list.push_back(std::move(a));
    } while (in_.TakeSymbol(","));
    return list;
  }

  std::vector<SelectItem> Returning() {
    if (!in_.TakeWord("returning")) return {};
    return Items();
  }

  Update ParseUpdate() {
    Update update;
    in_.Next();
    update.table = ParseTableName(&in_);
    Alias();
    update.assignments = Assignments();
    if (in_.TakeWord("where")) update.where = Parse();
    update.returning = Returning();
    return update;
  }

  Delete ParseDelete() {
    Delete del;
    in_.Next();
    in_.ExpectWord("from");
    del.table = ParseTableName(&in_);
    if (in_.TakeWord("where")) del.where = Parse();
    del.returning = Returning();
    return del;
  }

  void ParseCreate(Statement* out) {
    in_.Next();
    if (in_.TakeWord("schema")) {
      TakeIfNotExists();
      in_.ExpectName();
      out->body = CreateSchema{};
      return;
    }
    if (!in_.TakeWord("temp")) in_.TakeWord("unlogged");
    in_.ExpectWord("table");
    CreateTable create;
    create.if_not_exists = TakeIfNotExists();
    create.def.name = ParseTableName(&in_);
    in_.ExpectSymbol("(");
    do {
      Element(&create.def);
    } while (in_.TakeSymbol(","));
    in_.ExpectSymbol(")");
    out->body = std::move(create);
  }

  bool TakeIfNotExists() {
    if (!in_.TakeWords("if", "not")) return false;
    in_.ExpectWord("exists");
    return true;
  }

  void Element(TableDef* def) {
    if (in_.TakeWords("primary", "key")) {
      in_.ExpectSymbol("(");
      for (const std::string& name : NamesToClose()) AddKey(def, name);
      return;
    }
    ColumnDef column;
    column.name = in_.ExpectName();
    column.type = TypeOfName(ParseTypeName(&in_));
    def->columns.push_back(column);
    while (in_.ok() && Constraint(def)) {
    }
  }

  void AddKey(TableDef* def, const std::string& name) {
    std::optional<size_t> index = def->ColumnIndex(name);
    if (!index) {
      in_.Fail(SqlError{"42703", "column \"" + name + "\" does not exist"});
      return;
    }
    def->key.push_back(static_cast<uint32_t>(*index));
    def->columns[*index].not_null = true;
  }

  bool Constraint(TableDef* def) {
    ColumnDef& column = def->columns.back();
    if (in_.TakeWords("primary", "key")) {
      AddKey(def, column.name);
      return true;
    }
    if (in_.TakeWords("not", "null")) {
      column.not_null = true;
      return true;
    }
    if (in_.TakeWord("null")) return true;
    if (!in_.TakeWord("default")) return false;
    size_t from = in_.Peek().offset;
    Parse();
    column.default_sql = std::string(in_.Between(from, in_.Peek().offset));
    return true;
  }

  DropTable ParseDrop() {
    in_.Next();
    in_.ExpectWord("table");
    DropTable drop;
    drop.if_exists = in_.TakeWords("if", "exists");
    drop.table = ParseTableName(&in_);
    if (!in_.TakeWord("cascade")) in_.TakeWord("restrict");
    return drop;
  }

  TokenCursor& in_;
  uint32_t params_ = 0;
};

}  // namespace

bool ParseData(TokenCursor* cursor, Statement* out) {
  return DataParser(cursor).Run(out);
}

}  // namespace cardamomchute::standin
