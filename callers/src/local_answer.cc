#include "local_answer.h"

#include <map>

namespace cardamomchute {
namespace {

/// The one column a local statement returns, or nothing.
std::optional<std::string> ColumnOf(const SqlStatement* part) {
  bool shows = part != nullptr && part->sql_class.kind == SqlKind::kProxyShow;
  if (!shows) return std::nullopt;
  return part->sql_class.name;
}

std::string Bare(char type) {
  return pgwire::Builder().Begin(type).End().Take();
}

std::string Rows(const LocalResult& result) {
  if (!result.value) return "";
  return pgwire::DataRow({result.value});
}

std::string Completion(const SqlStatement& part, const LocalResult& result) {
  if (part.sql_class.kind == SqlKind::kEmpty) return Bare('I');
  return pgwire::CommandComplete(result.tag);
}

/// Walks an extended-query batch.
class Walker {
 public:
  Walker(const BatchPlan& plan, const SessionState& session,
         const RunLocally& run)
      : plan_(plan), session_(session), run_(run) {}

  LocalAnswer Walk(std::string_view batch) {
    while (!answer_.failed) {
      Result<std::optional<pgwire::MessageView>> next =
          pgwire::NextMessage(batch);
      if (next.has_error() || !next.value()) break;
      batch.remove_prefix(next.value()->whole.size());
      Take(*next.value());
    }
    return std::move(answer_);
  }

 private:
  void Take(const pgwire::MessageView& message) {
    pgwire::BodyReader reader(message.body);
    if (message.type == 'P') return Parse(&reader);
    if (message.type == 'B') return Bind(&reader);
    if (message.type == 'D') return Describe(&reader);
    if (message.type == 'E') return Execute();
    if (message.type == 'C') answer_.bytes += Bare('3');
  }

  void Parse(pgwire::BodyReader* reader) {
    std::string name(reader->CString());
    const NamedStatement& parsed = plan_.parsed[next_parsed_++];
    statements_[name] = FirstPart(parsed);
    answer_.bytes += Bare('1');
  }

  void Bind(pgwire::BodyReader* reader) {
    std::string portal(reader->CString());
    std::string name(reader->CString());
    portals_[portal] = FindStatement(name);
    answer_.bytes += Bare('2');
  }

  void Describe(pgwire::BodyReader* reader) {
    bool statement = reader->Byte() == 'S';
    std::string name(reader->CString());
    const SqlStatement* part = statement ? FindStatement(name) : portals_[name];
    if (statement) {
      answer_.bytes += pgwire::Builder().Begin('t').Int16(0).End().Take();
    }
    std::optional<std::string> column = ColumnOf(part);
    answer_.bytes += column ? pgwire::RowDescription({*column}) : Bare('n');
  }

  void Execute() {
    const SqlStatement& part = plan_.steps[next_step_++];
    LocalResult result = run_(part);
    if (result.error) {
      answer_.bytes += pgwire::ErrorResponse(*result.error);
      answer_.failed = true;
      return;
    }
    answer_.bytes += Rows(result) + Completion(part, result);
  }

  static const SqlStatement* FirstPart(const NamedStatement& statement) {
    return statement.parts.empty() ? nullptr : &statement.parts.front();
  }

  const SqlStatement* FindStatement(const std::string& name) {
    std::map<std::string, const SqlStatement*>::iterator found =
        statements_.find(name);
    if (found != statements_.end()) return found->second;
    const NamedStatement* named = FindNamedStatement(session_, name);
    return named == nullptr ? nullptr : FirstPart(*named);
  }

  const BatchPlan& plan_;
  const SessionState& session_;
  const RunLocally& run_;
  LocalAnswer answer_;
  std::map<std::string, const SqlStatement*> statements_;
  std::map<std::string, const SqlStatement*> portals_;
  size_t next_parsed_ = 0;
  size_t next_step_ = 0;
};

LocalAnswer AnswerSimple(const BatchPlan& plan, const RunLocally& run) {
  LocalAnswer answer;
  if (plan.steps.empty()) answer.bytes = Bare('I');
  for (const SqlStatement& part : plan.steps) {
    LocalResult result = run(part);
    if (result.error) {
      answer.bytes += pgwire::ErrorResponse(*result.error);
      answer.failed = true;
      return answer;
    }
    std::optional<std::string> column = ColumnOf(&part);
    if (column) answer.bytes += pgwire::RowDescription({*column});
    answer.bytes += Rows(result) + Completion(part, result);
  }
  return answer;
}

}  // namespace

LocalAnswer AnswerLocally(std::string_view batch, const BatchPlan& plan,
                          const SessionState& session, const RunLocally& run) {
  bool simple = !batch.empty() && batch.front() == 'Q';
  if (simple) return AnswerSimple(plan, run);
  return Walker(plan, session, run).Walk(batch);
}

}  // namespace cardamomchute
