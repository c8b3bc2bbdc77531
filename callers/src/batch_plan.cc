#include "batch_plan.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "content_hash.h"
#include "session_reports.h"

namespace cardamomchute {
namespace {

/// What a query text that is refused within a flushed batch becomes: the
/// endpoint's syntax error fails the batch as a whole.
constexpr std::string_view kFailingText = "cardamomchute: not supported";

/// A name that no statement has.
constexpr std::string_view kNoStatement = "cc_none";

bool IsLocalKind(SqlKind kind, bool in_block) {
  switch (kind) {
    case SqlKind::kProxySet:
    case SqlKind::kProxyShow:
    case SqlKind::kDeallocate:
    case SqlKind::kEmpty:
      return true;
    case SqlKind::kDiscard:
      return !in_block;
    default:
      return false;
  }
}

bool ReplaysLater(SqlKind kind) {
  return kind == SqlKind::kSet || kind == SqlKind::kPrepare;
}

/// Builds the plan of one batch, message by message.
class Planner {
 public:
  explicit Planner(const PlanContext& context) : context_(context) {}

  BatchPlan Plan(std::string_view bytes) {
    plan_.bytes.reserve(bytes.size());
    while (!plan_.refusal) {
      Result<std::optional<pgwire::MessageView>> next =
          pgwire::NextMessage(bytes);
      if (next.has_error() || !next.value()) break;
      bytes.remove_prefix(next.value()->whole.size());
      Take(*next.value());
    }
    Conclude();
    return std::move(plan_);
  }

 private:
  void Take(const pgwire::MessageView& message) {
    pgwire::BodyReader reader(message.body);
    switch (message.type) {
      case 'Q':
        return Query(message, &reader);
      case 'P':
        return Parse(&reader);
      case 'B':
        return Bind(&reader);
      case 'D':
        return Describe(message, &reader);
      case 'E':
        return Execute(message, &reader);
      case 'C':
        return Close(message, &reader);
      case 'F':
        return Refuse(MakeReport("0A000", "function calls are not served",
                                 "call the function in a SELECT"));
      default:
        plan_.bytes.append(message.whole);
    }
  }

  void Query(const pgwire::MessageView& message, pgwire::BodyReader* reader) {
    std::string_view sql = reader->CString();
    if (!reader->ok()) return RefuseMalformed();
    plan_.steps = ClassifyStatements(sql);
    for (const SqlStatement& part : plan_.steps) Judge(part);
    plan_.bytes.append(message.whole);
  }

  void Parse(pgwire::BodyReader* reader) {
    NamedStatement statement;
    statement.name = std::string(reader->CString());
    std::string_view sql = reader->CString();
    std::string_view types = reader->rest();
    if (!reader->ok()) return RefuseMalformed();
    if (Exists(statement.name)) {
      return Refuse(MakeReport(
          "42P05",
          "prepared statement \"" + statement.name + "\" already exists",
          "close it first or choose another name"));
    }
    statement.parts = ClassifyStatements(sql);
    for (const SqlStatement& part : statement.parts) JudgeUnsupported(part);
    if (plan_.refusal) return;
    statement.shared_name =
        SharedStatementName(std::string(sql) + '\0' + std::string(types));
    statement.parse_message = ParseMessage(statement.shared_name, sql, types);
    statement.batch_name = BatchName(statement);
    plan_.bytes += ParseMessage(statement.batch_name, sql, types);
    if (!statement.name.empty()) {
      JudgeStateSize(statement.parse_message.size());
    }
    std::erase(plan_.closed, statement.name);
    plan_.parsed.push_back(std::move(statement));
  }

  /// What the batch itself calls the statement. The owner looks for names that
  /// a connection has already in the first piece of a batch only; beyond it, or
  /// when the batch has the same content under another name, the name must be
  /// one that no connection has.
  std::string BatchName(const NamedStatement& statement) const {
    if (statement.name.empty()) return "";
    bool first_piece = context_.earlier == nullptr &&
                       plan_.bytes.size() + statement.parse_message.size() <=
                           kChannelChunkBytes;
    bool taken =
        IsCarried(statement.parse_message) || IsParsedAs(statement.shared_name);
    if (first_piece && !taken) return statement.shared_name;
    return statement.shared_name + "_" + std::to_string(context_.session_tag) +
           "_" + std::to_string(context_.batch_number) + "_" +
           std::to_string(plan_.parsed.size());
  }

  bool IsParsedAs(std::string_view batch_name) const {
    auto is_it = [&](const NamedStatement& parsed) {
      return parsed.batch_name == batch_name;
    };
    return std::any_of(plan_.parsed.begin(), plan_.parsed.end(), is_it);
  }

  static std::string ParseMessage(std::string_view name, std::string_view sql,
                                  std::string_view types) {
    return pgwire::Builder()
        .Begin('P')
        .CString(name)
        .CString(sql)
        .Bytes(types)
        .End()
        .Take();
  }

  void Bind(pgwire::BodyReader* reader) {
    std::string_view portal = reader->CString();
    std::string_view name = reader->CString();
    if (!reader->ok()) return RefuseMalformed();
    Found found = Find(name);
    portals_.push_back({std::string(portal), PartsOf(name, found)});
    Touch(portals_.back().parts);
    plan_.bytes += pgwire::Builder()
                       .Begin('B')
                       .CString(portal)
                       .CString(SharedName(name, found))
                       .Bytes(reader->rest())
                       .End()
                       .Take();
  }

  void Describe(const pgwire::MessageView& message,
                pgwire::BodyReader* reader) {
    bool of_statement = reader->Byte() == 'S';
    std::string_view name = reader->CString();
    if (!reader->ok()) return RefuseMalformed();
    if (!of_statement) {
      Touch(PartsOfPortal(name));
      plan_.bytes.append(message.whole);
      return;
    }
    Found found = Find(name);
    Touch(PartsOf(name, found));
    AppendNamed('D', SharedName(name, found));
  }

  void Execute(const pgwire::MessageView& message, pgwire::BodyReader* reader) {
    std::string_view portal = reader->CString();
    if (!reader->ok()) return RefuseMalformed();
    std::vector<SqlStatement> parts = PartsOfPortal(portal);
    if (parts.empty()) parts.push_back(EmptyPart());
    for (const SqlStatement& part : parts) {
      plan_.steps.push_back(part);
      Judge(part);
    }
    plan_.bytes.append(message.whole);
  }

  void Close(const pgwire::MessageView& message, pgwire::BodyReader* reader) {
    bool of_statement = reader->Byte() == 'S';
    std::string_view name = reader->CString();
    if (!reader->ok()) return RefuseMalformed();
    if (!of_statement) {
      // Only a transaction's own connection has portals from before.
      if (context_.in_block) Touch({SqlStatement()});
      plan_.bytes.append(message.whole);
      return;
    }
    // Other sessions share what an earlier batch parsed. Closing what is not
    // there is no error.
    const NamedStatement* parsed = FindParsed(name);
    AppendNamed('C', parsed == nullptr ? kNoStatement : parsed->batch_name);
    plan_.closed.emplace_back(name);
  }

  void AppendNamed(char type, std::string_view name) {
    plan_.bytes +=
        pgwire::Builder().Begin(type).Byte('S').CString(name).End().Take();
  }

  void Refuse(pgwire::Report report) {
    if (!plan_.refusal) plan_.refusal = std::move(report);
  }

  void RefuseMalformed() {
    Refuse(MakeReport("08P01", "a message is cut short",
                      "use a client of PostgreSQL protocol version 3"));
  }

  void JudgeUnsupported(const SqlStatement& part) {
    const SqlClass& sql = part.sql_class;
    if (sql.kind != SqlKind::kUnsupported) return;
    Refuse(MakeReport("0A000", sql.name + " is not supported", sql.value));
  }

  /// Looks at a statement that is to run.
  void Judge(const SqlStatement& part) {
    JudgeUnsupported(part);
    const SqlClass& sql = part.sql_class;
    bool alone = !context_.in_block && plan_.steps.size() == 1;
    if (sql.kind == SqlKind::kTransactionOnly && alone) {
      Refuse(
          MakeReport("25P01", sql.name + " outside a transaction", sql.value));
    }
    if (sql.kind == SqlKind::kCommit) plan_.commits = true;
    if (!KeepsState(part)) plan_.changes_state = true;
    if (ReplaysLater(sql.kind)) JudgeStateSize(part.text.size());
    if (WritesNothing(part)) return;
    plan_.writes_data = true;
    if (context_.may_write) return;
    Refuse(MakeReport("42501", "this caller may not write",
                      "grant writes in the environment's document, or send "
                      "statements that only read"));
  }

  /// EXECUTE of what certainly reads keeps the state as that does.
  bool KeepsState(const SqlStatement& part) const {
    const SqlClass& sql = part.sql_class;
    return sql.preserves_session_state || sql.kind == SqlKind::kEmpty ||
           (sql.kind == SqlKind::kExecute && IsRead(part));
  }

  void JudgeStateSize(size_t more) {
    if (StateBytes(*context_.session) + more <= kMaxSessionStateBytes) return;
    Refuse(MakeReport("54000", "the session has set and prepared too much",
                      "DEALLOCATE what is no longer needed"));
  }

  bool WritesNothing(const SqlStatement& part) const {
    const SqlClass& sql = part.sql_class;
    switch (sql.kind) {
      case SqlKind::kWrite:
      case SqlKind::kMultiStatement:
      case SqlKind::kTransactionOnly:
        return sql.read_only;
      case SqlKind::kExecute:
        return sql.read_only && PreparedReads(sql.name);
      default:
        return true;
    }
  }

  bool PreparedReads(std::string_view name) const {
    const SqlStatement* prepared = FindSqlPrepared(*context_.session, name);
    return prepared != nullptr && prepared->sql_class.read_only;
  }

  /// Whether a replica may serve the statement.
  bool IsRead(const SqlStatement& part) const {
    const SqlClass& sql = part.sql_class;
    if (sql.kind == SqlKind::kExecute) return WritesNothing(part);
    return sql.kind == SqlKind::kRead || sql.kind == SqlKind::kEmpty;
  }

  /// A statement of that name, and whether this batch parses it.
  struct Found {
    const NamedStatement* statement = nullptr;
    bool in_batch = false;
  };

  Found Find(std::string_view name) {
    const NamedStatement* parsed = FindParsed(name);
    if (parsed != nullptr) return {parsed, true};
    if (IsClosed(name)) return {};
    const NamedStatement* kept = FindNamedStatement(*context_.session, name);
    bool carry = kept != nullptr && !IsParsedAs(kept->shared_name);
    if (carry) Carry(kept->parse_message);
    return {kept, false};
  }

  bool IsClosed(std::string_view name) const {
    return std::find(plan_.closed.begin(), plan_.closed.end(), name) !=
           plan_.closed.end();
  }

  const NamedStatement* FindParsed(std::string_view name) const {
    const NamedStatement* found = FindInBatch(plan_, name);
    bool look_earlier = found == nullptr && context_.earlier != nullptr;
    return look_earlier ? FindInBatch(*context_.earlier, name) : found;
  }

  static const NamedStatement* FindInBatch(const BatchPlan& plan,
                                           std::string_view name) {
    std::vector<NamedStatement>::const_reverse_iterator found = std::find_if(
        plan.parsed.rbegin(), plan.parsed.rend(),
        [&](const NamedStatement& parsed) { return parsed.name == name; });
    return found == plan.parsed.rend() ? nullptr : &*found;
  }

  bool Exists(const std::string& name) const {
    if (name.empty() || IsClosed(name)) return false;
    return FindParsed(name) != nullptr ||
           FindNamedStatement(*context_.session, name) != nullptr;
  }

  bool IsCarried(const std::string& parse_message) const {
    return std::find(plan_.prepared.begin(), plan_.prepared.end(),
                     parse_message) != plan_.prepared.end();
  }

  void Carry(const std::string& parse_message) {
    if (!IsCarried(parse_message)) plan_.prepared.push_back(parse_message);
  }

  /// What connections call the statement. A name the session doesn't know
  /// must not reach another session's statement.
  static std::string SharedName(std::string_view name, const Found& found) {
    if (found.in_batch) return found.statement->batch_name;
    if (found.statement != nullptr) return found.statement->shared_name;
    std::string unknown(name);
    return unknown.starts_with("cc_") ? "unknown_" + unknown : unknown;
  }

  /// The SQL behind a statement name; a PREPARE counts as its EXECUTE.
  std::vector<SqlStatement> PartsOf(std::string_view name,
                                    const Found& found) const {
    if (found.statement != nullptr) return found.statement->parts;
    SqlStatement part;
    const SqlStatement* prepared = FindSqlPrepared(*context_.session, name);
    if (prepared == nullptr) return {part};
    part.sql_class.kind = SqlKind::kExecute;
    part.sql_class.name = std::string(name);
    part.sql_class.read_only = true;
    return {part};
  }

  std::vector<SqlStatement> PartsOfPortal(std::string_view portal) const {
    for (size_t i = portals_.size(); i > 0; --i) {
      if (portals_[i - 1].name == portal) return portals_[i - 1].parts;
    }
    return {SqlStatement()};
  }

  static SqlStatement EmptyPart() {
    SqlStatement part;
    part.sql_class.kind = SqlKind::kEmpty;
    return part;
  }

  /// Notes SQL that is parsed or described without being run.
  void Touch(const std::vector<SqlStatement>& parts) {
    touched_.insert(touched_.end(), parts.begin(), parts.end());
  }

  void Conclude() {
    if (plan_.refusal) return;
    for (const NamedStatement& parsed : plan_.parsed) Touch(parsed.parts);
    plan_.ends_block = plan_.steps.size() == 1 && IsEnd(plan_.steps.front());
    plan_.local = AllOf([&](const SqlStatement& part) {
      return IsLocalKind(part.sql_class.kind, context_.in_block);
    });
    bool some_local = AnyOf([&](const SqlStatement& part) {
      return part.sql_class.kind == SqlKind::kProxySet ||
             part.sql_class.kind == SqlKind::kProxyShow ||
             part.sql_class.kind == SqlKind::kDeallocate;
    });
    bool streamed = context_.earlier != nullptr;
    if (some_local && (!plan_.local || streamed)) {
      Refuse(MakeReport("0A000",
                        "SET or SHOW of cardamomchute settings, or "
                        "DEALLOCATE, together with other statements",
                        "send it by itself"));
      return;
    }
    plan_.kind = Kind();
  }

  StatementKind Kind() const {
    if (context_.in_block || context_.earlier != nullptr) {
      return StatementKind::kWrite;
    }
    bool reads =
        AllOf([this](const SqlStatement& part) { return IsRead(part); });
    if (reads) return StatementKind::kRead;
    if (plan_.steps.size() != 1) return StatementKind::kWrite;
    SqlKind only = plan_.steps.front().sql_class.kind;
    if (only == SqlKind::kBegin) return StatementKind::kBegin;
    if (only == SqlKind::kReadOnlyBegin) return StatementKind::kReadOnlyBegin;
    return StatementKind::kWrite;
  }

  static bool IsEnd(const SqlStatement& part) {
    return part.sql_class.kind == SqlKind::kCommit ||
           part.sql_class.kind == SqlKind::kRollback;
  }

  template <typename Predicate>
  bool AllOf(Predicate holds) const {
    return std::all_of(plan_.steps.begin(), plan_.steps.end(), holds) &&
           std::all_of(touched_.begin(), touched_.end(), holds);
  }

  template <typename Predicate>
  bool AnyOf(Predicate holds) const {
    return std::any_of(plan_.steps.begin(), plan_.steps.end(), holds) ||
           std::any_of(touched_.begin(), touched_.end(), holds);
  }

  struct Portal {
    std::string name;
    std::vector<SqlStatement> parts;
  };

  const PlanContext& context_;
  BatchPlan plan_;
  std::vector<Portal> portals_;
  std::vector<SqlStatement> touched_;
};

}  // namespace

BatchPlan PlanBatch(std::string_view bytes, const PlanContext& context) {
  return Planner(context).Plan(bytes);
}

std::string FailingParse() {
  return pgwire::Builder()
      .Begin('P')
      .CString("")
      .CString(kFailingText)
      .Int16(0)
      .End()
      .Take();
}

void Append(BatchPlan next, BatchPlan* plan) {
  plan->bytes += next.bytes;
  plan->commits = plan->commits || next.commits;
  plan->ends_block = false;
  plan->writes_data = plan->writes_data || next.writes_data;
  plan->changes_state = plan->changes_state || next.changes_state;
  auto move_all = [](auto& from, auto& to) {
    to.insert(to.end(), std::make_move_iterator(from.begin()),
              std::make_move_iterator(from.end()));
  };
  move_all(next.steps, plan->steps);
  move_all(next.parsed, plan->parsed);
  move_all(next.closed, plan->closed);
}

}  // namespace cardamomchute
