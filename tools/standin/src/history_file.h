/// The file in which a member notes its commits and promotions, one JSON
/// object a line, for a checker to read.
///
///     {"event":"commit","member":"a","term":1,"position":16777300,
///      "table":"loadgen","key":"k1","row":["k1","v"]}
///     {"event":"promote","member":"b","term":2,"position":16777300}
///
/// "replay" is a commit of another member, "discard" takes back everything
/// past its position. A null row was deleted.
#ifndef CARDAMOMCHUTE_STANDIN_HISTORY_FILE_H_
#define CARDAMOMCHUTE_STANDIN_HISTORY_FILE_H_

#include <cstdio>
#include <memory>
#include <string>
#include <string_view>

#include "cardamomchute/base/ids.h"
#include "log_entry.h"

namespace cardamomchute::standin {

class HistoryFile {
 public:
  /// Appends to `path`; an empty path notes nothing.
  HistoryFile(std::string member, const std::string& path);

  /// One line for each row that the entry changed.
  void Note(std::string_view event, const LogEntry& entry);
  void Note(std::string_view event, Term term, Position position);

 private:
  struct Close {
    void operator()(std::FILE* file) const { std::fclose(file); }
  };

  std::string member_;
  std::unique_ptr<std::FILE, Close> file_;
};

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_HISTORY_FILE_H_
