#include "cardamomchute/loadgen_history/history.h"

#include <algorithm>
#include <array>
#include <istream>
#include <nlohmann/json.hpp>

namespace cardamomchute::history {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 5> kKinds = {
    "write", "transaction", "rollback", "read", "read_pair"};
constexpr std::array<std::string_view, 4> kOutcomes = {"ok", "not_run",
                                                       "failed", "unknown"};

Error Malformed(size_t line, const std::string& what) {
  return Error{ErrorKind::kInvalidInput,
               "line " + std::to_string(line) + ": " + what,
               "pass a file that the tool wrote"};
}

template <typename T, size_t kSize>
T IndexOf(const std::array<std::string_view, kSize>& names,
          const std::string& name) {
  auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) throw std::runtime_error("unknown word " + name);
  return static_cast<T>(found - names.begin());
}

Operation ToOperation(const json& line) {
  Operation o;
  o.kind = IndexOf<OperationKind>(kKinds, line.at("kind"));
  o.outcome = IndexOf<Outcome>(kOutcomes, line.at("outcome"));
  line.at("id").get_to(o.id);
  line.at("session").get_to(o.session);
  line.at("rank").get_to(o.rank);
  line.at("key").get_to(o.key);
  line.at("started").get_to(o.started);
  line.at("ended").get_to(o.ended);
  line.at("written").get_to(o.written);
  line.at("seen").get_to(o.seen);
  line.at("staleness_ms").get_to(o.staleness_ms);
  line.at("torn").get_to(o.torn);
  line.at("misdelivered").get_to(o.misdelivered);
  line.at("sqlstate").get_to(o.sqlstate);
  return o;
}

void AddLine(const json& line, History* history) {
  if (!line.contains("final")) {
    history->operations.push_back(ToOperation(line));
    return;
  }
  if (!history->final_rows) history->final_rows.emplace();
  std::string key = line.at("final");
  if (!key.empty()) (*history->final_rows)[key] = line.at("value");
}

/// Takes back what a later term did not keep.
void Discard(uint64_t position, std::vector<CommittedRow>* rows) {
  std::erase_if(*rows, [position](const CommittedRow& row) {
    return row.position > position;
  });
}

void AddMemberLine(const json& line, MemberLog* log) {
  std::string event = line.at("event");
  uint64_t term = line.at("term");
  uint64_t position = line.at("position");
  if (event == "promote") {
    log->promoted_in = std::max(log->promoted_in, term);
    return;
  }
  if (event == "discard") return Discard(position, &log->rows);
  const json& row = line.at("row");
  CommittedRow committed{term, position, line.at("key"), std::nullopt};
  bool has_value = row.is_array() && row.size() > 1 && row[1].is_string();
  if (has_value) committed.value = row[1].get<std::string>();
  log->rows.push_back(std::move(committed));
}

/// Calls `add` with each line as JSON.
template <typename Add>
Status ForEachLine(std::istream& in, Add add) {
  std::string text;
  for (size_t number = 1; std::getline(in, text); ++number) {
    if (text.empty()) continue;
    try {
      add(json::parse(text));
    } catch (const std::exception& e) {
      // A process that was killed may leave its last line short.
      bool cut_short = in.peek() == std::istream::traits_type::eof();
      if (!cut_short) return Malformed(number, e.what());
    }
  }
  return Ok();
}

}  // namespace

std::string_view ToString(Outcome outcome) {
  return kOutcomes.at(static_cast<size_t>(outcome));
}

std::string ToLine(const Operation& o) {
  json line;
  line["kind"] = kKinds.at(static_cast<size_t>(o.kind));
  line["outcome"] = ToString(o.outcome);
  line["id"] = o.id;
  line["session"] = o.session;
  line["rank"] = o.rank;
  line["key"] = o.key;
  line["started"] = o.started;
  line["ended"] = o.ended;
  line["written"] = o.written;
  line["seen"] = o.seen;
  line["staleness_ms"] = o.staleness_ms;
  line["torn"] = o.torn;
  line["misdelivered"] = o.misdelivered;
  line["sqlstate"] = o.sqlstate;
  return line.dump();
}

std::string FinalRowLine(const std::string& key, const std::string& value) {
  json line;
  line["final"] = key;
  line["value"] = value;
  return line.dump();
}

Status ReadHistory(std::istream& in, History* history) {
  return ForEachLine(in, [&](const json& line) { AddLine(line, history); });
}

Result<MemberLog> ReadMemberLog(std::istream& in) {
  MemberLog log;
  Status read =
      ForEachLine(in, [&log](const json& line) { AddMemberLine(line, &log); });
  if (!read) return read.error();
  return log;
}

}  // namespace cardamomchute::history
