#include "executor.h"

#include <algorithm>
#include <array>
#include <boost/outcome/try.hpp>

#include "cardamomchute/pgwire/message.h"
#include "transaction_control.h"

namespace cardamomchute::standin {
namespace {

template <typename T>
bool Is(const Statement& s) {
  return std::holds_alternative<T>(s.body);
}

Execution Tagged(std::string tag) {
  Execution e;
  e.tag = std::move(tag);
  return e;
}

RowSource SourceOf(std::vector<Row> rows) {
  return [rows = std::move(rows),
          next = size_t{0}](Row* out) mutable -> SqlResult<bool> {
    if (next >= rows.size()) return false;
    *out = std::move(rows[next++]);
    return true;
  };
}

Execution SingleRow(std::vector<ResultColumn> columns, Row row,
                    std::string tag) {
  Execution e;
  e.columns = std::move(columns);
  e.rows = SourceOf({std::move(row)});
  e.tag = std::move(tag);
  return e;
}

/// Functions that only look at or direct the member or the session; they run
/// beside the statements that need a slot.
bool IsAside(const Expr& e) {
  constexpr std::array<std::string_view, 11> kNames = {
      "pg_is_in_recovery",
      "pg_current_wal_lsn",
      "pg_last_wal_receive_lsn",
      "pg_last_wal_replay_lsn",
      "pg_promote",
      "pg_reload_conf",
      "pg_backend_pid",
      "current_setting",
      "set_config",
      "pg_current_wal_insert_lsn",
      "pg_current_wal_flush_lsn"};
  return e.kind == ExprKind::kCall &&
         std::find(kNames.begin(), kNames.end(), e.text) != kNames.end();
}

/// Seconds that the pg_sleep calls within `e` ask for.
double SleepSeconds(const Expr& e, const Scope& scope) {
  double total = 0;
  if (e.kind == ExprKind::kCall && e.text == "pg_sleep" && e.args.size() == 1) {
    SqlResult<Value> v = Evaluate(e.args[0], scope);
    if (v) total += ToDouble(v.value()).value_or(0);
  }
  for (const Expr& arg : e.args) total += SleepSeconds(arg, scope);
  return total;
}

std::string ModifyTag(const Statement& s) {
  if (Is<Insert>(s)) return "INSERT 0";
  if (Is<Update>(s)) return "UPDATE";
  return "DELETE";
}

std::string CommandName(const Statement& s) {
  if (Is<Insert>(s)) return "INSERT";
  if (Is<Update>(s)) return "UPDATE";
  if (Is<Delete>(s)) return "DELETE";
  if (Is<CreateTable>(s)) return "CREATE TABLE";
  if (Is<DropTable>(s)) return "DROP TABLE";
  if (Is<Truncate>(s)) return "TRUNCATE TABLE";
  if (Is<CreateSchema>(s)) return "CREATE SCHEMA";
  const Select* select = std::get_if<Select>(&s.body);
  return select && select->for_update ? "SELECT FOR UPDATE" : "";
}

const std::vector<SelectItem>* ReturningOf(const Statement& s) {
  if (const Insert* i = std::get_if<Insert>(&s.body)) return &i->returning;
  if (const Update* u = std::get_if<Update>(&s.body)) return &u->returning;
  if (const Delete* d = std::get_if<Delete>(&s.body)) return &d->returning;
  return nullptr;
}

std::string TableOf(const Statement& s) {
  if (const Insert* i = std::get_if<Insert>(&s.body)) return i->table;
  if (const Update* u = std::get_if<Update>(&s.body)) return u->table;
  if (const Delete* d = std::get_if<Delete>(&s.body)) return d->table;
  return "";
}

std::vector<ResultColumn> ProbeColumns() {
  return {{"pg_is_in_recovery", ValueType::kBool},
          {"case", ValueType::kInt},
          {"case", ValueType::kText},
          {"case", ValueType::kText}};
}

}  // namespace

StoreView Executor::View() const {
  const Overlay* overlay =
      session_.transaction ? &session_.transaction->overlay : nullptr;
  return StoreView(&host_.member->store(), overlay);
}

std::shared_ptr<RunContext> Executor::MakeContext(std::vector<Value> params) {
  CallFunction call = [this](const std::string& name,
                             const std::vector<Value>& args) {
    return Call(name, args);
  };
  return std::make_shared<RunContext>(
      RunContext{View(), std::move(params), std::move(call)});
}

SqlResult<void> Executor::CheckBlock(const Statement& statement) const {
  if (!session_.transaction || !session_.transaction->failed) return SqlOk();
  if (Is<Commit>(statement) || Is<Rollback>(statement)) return SqlOk();
  const Savepoint* savepoint = std::get_if<Savepoint>(&statement.body);
  if (savepoint && savepoint->action == SavepointAction::kRollbackTo) {
    return SqlOk();
  }
  return SqlError{"25P02",
                  "current transaction is aborted, commands ignored until end "
                  "of transaction block"};
}

SqlResult<void> Executor::CheckWritable(const std::string& command) const {
  const Transaction& transaction = *session_.transaction;
  bool replaced = transaction.reign != host_.member->reign();
  if (host_.member->is_primary() && !replaced && !transaction.read_only) {
    return SqlOk();
  }
  return SqlError{"25006",
                  "cannot execute " + command + " in a read-only transaction"};
}

bool Executor::NeedsSlot(const Statement& statement) const {
  const Select* select = std::get_if<Select>(&statement.body);
  if (!select) return !CommandName(statement).empty();
  if (!select->table.empty() || select->series) return true;
  return !std::all_of(
      select->items.begin(), select->items.end(),
      [](const SelectItem& item) { return IsAside(item.expr); });
}

Executor::Answer Executor::Run(StatementPtr statement,
                               std::vector<Value> params) {
  SqlResult<void> allowed = CheckBlock(*statement);
  if (!allowed) co_return allowed.error();
  EnsureTransaction(host_.member, &session_);
  std::string command = CommandName(*statement);
  if (!command.empty()) {
    SqlResult<void> writable = CheckWritable(command);
    if (!writable) co_return writable.error();
  }
  if (const ExecutePrepared* execute =
          std::get_if<ExecutePrepared>(&statement->body)) {
    co_return co_await RunPrepared(*execute, std::move(params));
  }
  if (NeedsSlot(*statement)) {
    co_return co_await RunInSlot(std::move(statement), std::move(params));
  }
  if (!Is<Select>(*statement)) co_return RunPlain(*statement);
  co_return RunSelectNow(statement, MakeContext(std::move(params)));
}

Executor::Answer Executor::RunInSlot(StatementPtr statement,
                                     std::vector<Value> params) {
  SqlResult<void> acquired = co_await host_.slots->Acquire(&session_.waiter);
  if (!acquired) co_return acquired.error();
  HeldSlot slot(host_.slots);
  if (host_.service.count() > 0) {
    SqlResult<void> served = co_await SleepUntil(
        &session_.waiter, std::chrono::steady_clock::now() + host_.service);
    if (!served) co_return served.error();
  }
  std::shared_ptr<RunContext> context = MakeContext(std::move(params));
  bool data = Is<Select>(*statement) || ReturningOf(*statement);
  if (!data) co_return RunPlain(*statement);
  co_return co_await RunData(std::move(statement), std::move(context),
                             std::move(slot));
}

SqlResult<ModifyOutcome> Executor::TryModify(const StatementPtr& statement,
                                             const ModifyContext& context) {
  if (const Insert* i = std::get_if<Insert>(&statement->body)) {
    return TryInsert(context, *i, statement);
  }
  if (const Update* u = std::get_if<Update>(&statement->body)) {
    return TryUpdate(context, *u);
  }
  if (const Delete* d = std::get_if<Delete>(&statement->body)) {
    return TryDelete(context, *d);
  }
  const Select& select = std::get<Select>(statement->body);
  if (!select.for_update || select.table.empty()) return ModifyOutcome{};
  return TryLockRows(context, select);
}

Executor::Answer Executor::RunData(StatementPtr statement,
                                   std::shared_ptr<RunContext> context,
                                   HeldSlot slot) {
  const Select* select = std::get_if<Select>(&statement->body);
  double seconds = 0;
  Scope scope;
  scope.params = &context->params;
  if (select) {
    for (const SelectItem& item : select->items) {
      seconds += SleepSeconds(item.expr, scope);
    }
  }
  if (seconds > 0) {
    session_.on_long_wait(true);
    SteadyTime until =
        std::chrono::steady_clock::now() +
        std::chrono::microseconds(static_cast<int64_t>(seconds * 1e6));
    SqlResult<void> slept = co_await SleepUntil(&session_.waiter, until);
    session_.on_long_wait(false);
    if (!slept) co_return slept.error();
  }
  ModifyContext modify{context.get(), host_.member,
                       &session_.transaction->overlay,
                       session_.transaction->id};
  ModifyOutcome outcome;
  for (;;) {
    SqlResult<ModifyOutcome> tried = TryModify(statement, modify);
    if (!tried) co_return tried.error();
    outcome = std::move(tried.value());
    if (!outcome.blocked) break;
    // A waiting statement leaves its slot to those it waits for.
    slot.Release();
    session_.on_long_wait(true);
    SqlResult<void> freed = co_await host_.member->locks().WaitFor(
        modify.transaction, outcome.blocked->table, outcome.blocked->key,
        &session_.waiter);
    session_.on_long_wait(false);
    if (!freed) co_return freed.error();
    SqlResult<void> acquired = co_await host_.slots->Acquire(&session_.waiter);
    if (!acquired) co_return acquired.error();
    slot = HeldSlot(host_.slots);
    SqlResult<void> writable = CheckWritable(CommandName(*statement));
    if (!writable) co_return writable.error();
  }
  if (select) {
    SqlResult<Execution> selected = RunSelectNow(statement, context);
    if (selected) selected.value().slot.emplace(std::move(slot));
    co_return selected;
  }
  Execution e =
      Tagged(ModifyTag(*statement) + " " + std::to_string(outcome.count));
  const std::vector<SelectItem>* returning = ReturningOf(*statement);
  if (!returning->empty()) {
    e.columns =
        ItemColumns(*returning, context->view.FindTable(TableOf(*statement)));
    e.rows = SourceOf(std::move(outcome.returned));
  }
  co_return e;
}

SqlResult<Execution> Executor::RunSelectNow(
    const StatementPtr& statement, std::shared_ptr<RunContext> context) {
  const Select& select = std::get<Select>(statement->body);
  Execution e;
  BOOST_OUTCOME_TRY(columns, SelectColumns(context->view, select));
  BOOST_OUTCOME_TRY(rows, RunSelect(std::move(context), statement, select));
  e.columns = std::move(columns);
  e.rows = std::move(rows);
  e.tag = "SELECT";
  e.counted = true;
  return e;
}

Executor::Answer Executor::RunPrepared(const ExecutePrepared& execute,
                                       std::vector<Value> params) {
  auto found = session_.prepared.find(execute.name);
  if (found == session_.prepared.end()) {
    co_return SqlError{
        "26000", "prepared statement \"" + execute.name + "\" does not exist"};
  }
  StatementPtr statement = found->second.statement;
  if (!statement) co_return Tagged("EXECUTE");
  if (execute.args.size() < found->second.params) {
    co_return SqlError{"42601",
                       "wrong number of parameters for prepared "
                       "statement \"" +
                           execute.name + "\""};
  }
  std::vector<Value> args;
  Scope scope;
  scope.params = &params;
  for (const Expr& arg : execute.args) {
    SqlResult<Value> value = Evaluate(arg, scope);
    if (!value) co_return value.error();
    args.push_back(std::move(value.value()));
  }
  co_return co_await Run(std::move(statement), std::move(args));
}

SqlResult<Execution> Executor::RunPlain(const Statement& statement) {
  if (Is<Probe>(statement)) return RunProbe();
  if (const Show* show = std::get_if<Show>(&statement.body)) {
    BOOST_OUTCOME_TRY(value, Call("current_setting", {Text(show->name)}));
    return SingleRow({{show->name, ValueType::kText}}, Row{value}, "SHOW");
  }
  if (Is<CreateSchema>(statement)) return Tagged("CREATE SCHEMA");
  if (const Savepoint* savepoint = std::get_if<Savepoint>(&statement.body)) {
    BOOST_OUTCOME_TRY(tag, RunSavepoint(*savepoint, host_.member, &session_));
    return Tagged(tag);
  }
  SqlResult<std::string> tag = std::visit(
      [this](const auto& body) -> SqlResult<std::string> {
        using Body = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<Body, std::shared_ptr<const Prepare>>) {
          return Tag(*body);
        } else if constexpr (requires { Tag(body); }) {
          return Tag(body);
        } else {
          return SqlError{"XX000", "statement has no plain form"};
        }
      },
      statement.body);
  if (!tag) return tag.error();
  return Tagged(tag.value());
}

SqlResult<Execution> Executor::RunProbe() {
  const Member& member = *host_.member;
  uint64_t term = member.term().value();
  Row row{Bool(!member.is_primary()), Int(static_cast<int64_t>(term)),
          Text(pgwire::FormatLsn(member.received().value())),
          Text(pgwire::FormatLsn(member.replayed().value()))};
  return SingleRow(ProbeColumns(), std::move(row), "SELECT 1");
}

SqlResult<std::optional<std::vector<ResultColumn>>> Executor::Describe(
    const Statement& statement) const {
  using Columns = std::optional<std::vector<ResultColumn>>;
  if (Is<Probe>(statement)) return Columns(ProbeColumns());
  if (const Show* show = std::get_if<Show>(&statement.body)) {
    return Columns({{show->name, ValueType::kText}});
  }
  if (const Select* select = std::get_if<Select>(&statement.body)) {
    BOOST_OUTCOME_TRY(columns, SelectColumns(View(), *select));
    return Columns(std::move(columns));
  }
  if (const ExecutePrepared* e =
          std::get_if<ExecutePrepared>(&statement.body)) {
    auto found = session_.prepared.find(e->name);
    bool known = found != session_.prepared.end() && found->second.statement;
    return known ? Describe(*found->second.statement) : Columns();
  }
  const std::vector<SelectItem>* returning = ReturningOf(statement);
  if (!returning || returning->empty()) return Columns();
  BOOST_OUTCOME_TRY(table, FindTable(View(), TableOf(statement)));
  return Columns(ItemColumns(*returning, table));
}

}  // namespace cardamomchute::standin
