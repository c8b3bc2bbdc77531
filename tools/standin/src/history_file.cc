#include "history_file.h"

#include <nlohmann/json.hpp>

#include "cardamomchute/base/log.h"

namespace cardamomchute::standin {
namespace {

nlohmann::json Header(std::string_view event, const std::string& member,
                      Term term, Position position) {
  nlohmann::json line;
  line["event"] = event;
  line["member"] = member;
  line["term"] = term.value();
  line["position"] = position.value();
  return line;
}

nlohmann::json RowJson(const Change& change) {
  if (change.kind == ChangeKind::kErase) return nullptr;
  nlohmann::json row = nlohmann::json::array();
  for (const Value& v : change.row) {
    row.push_back(v.null ? nlohmann::json(nullptr) : nlohmann::json(v.text));
  }
  return row;
}

void Append(const nlohmann::json& line, std::string* out) {
  using ErrorHandler = nlohmann::json::error_handler_t;
  *out += line.dump(-1, ' ', false, ErrorHandler::replace);
  out->push_back('\n');
}

void Write(const std::string& lines, std::FILE* file) {
  std::fwrite(lines.data(), 1, lines.size(), file);
  std::fflush(file);
}

}  // namespace

HistoryFile::HistoryFile(std::string member, const std::string& path)
    : member_(std::move(member)) {
  if (path.empty()) return;
  file_.reset(std::fopen(path.c_str(), "a"));
  if (file_) return;
  LogLine(LogLevel::kError, "history_file")
      .Field("path", path)
      .Field("remedy", "name a file that can be written");
}

void HistoryFile::Note(std::string_view event, const LogEntry& entry) {
  if (!file_) return;
  std::string lines;
  for (const Change& change : entry.changes) {
    bool of_row =
        change.kind == ChangeKind::kPut || change.kind == ChangeKind::kErase;
    if (!of_row) continue;
    nlohmann::json line = Header(event, member_, entry.term, entry.end);
    line["table"] = change.table;
    line["key"] = change.key;
    line["row"] = RowJson(change);
    Append(line, &lines);
  }
  Write(lines, file_.get());
}

void HistoryFile::Note(std::string_view event, Term term, Position position) {
  if (!file_) return;
  std::string lines;
  Append(Header(event, member_, term, position), &lines);
  Write(lines, file_.get());
}

}  // namespace cardamomchute::standin
