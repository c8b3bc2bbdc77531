/// What a load generator did and saw, and what the group's members committed.
///
/// The load writes rows of these keys, each beginning with the run's name:
///   run/o/OPERATION       '1', or '2' once the operation has run twice
///   run/s/SESSION         highest sequence number its session has written
///   run/t/PAIR/a and /b   the operation that wrote both, in one transaction
#ifndef CARDAMOMCHUTE_LOADGEN_HISTORY_HISTORY_H_
#define CARDAMOMCHUTE_LOADGEN_HISTORY_HISTORY_H_

#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomchute/base/error.h"

namespace cardamomchute::history {

enum class OperationKind : uint8_t {
  kWrite,        ///< its operation row and its session's row, one statement
  kTransaction,  ///< its operation row and a pair, in a block that commits
  kRollback,     ///< the same in a block that rolls back
  kRead,         ///< a session's row
  kReadPair      ///< both rows of a pair, one statement
};

enum class Outcome : uint8_t {
  kOk,
  kNotRun,  ///< refused before it ran
  kFailed,  ///< an SQL error: no effect
  kUnknown  ///< may or may not have taken effect
};

/// One operation of one caller. Times are microseconds on the VM's monotonic
/// clock.
struct Operation {
  OperationKind kind = OperationKind::kRead;
  Outcome outcome = Outcome::kUnknown;
  std::string id;       ///< unique, with the run's name
  std::string session;  ///< unique, with the run's name
  std::string rank;
  std::string key;  ///< row read, row written, or pair without /a and /b
  int64_t started = 0;
  int64_t ended = 0;
  uint64_t written = 0;       ///< kWrite: sequence number of the session
  uint64_t seen = 0;          ///< kRead: what the row held; zero: no row
  int64_t staleness_ms = -1;  ///< bound of a read; negative: none
  bool torn = false;          ///< saw a pair, or its own writes, half
  bool misdelivered = false;  ///< an answer to it was not for it
  std::string sqlstate;       ///< of the error, if one came
};

/// One row that a committed transaction left behind.
struct CommittedRow {
  uint64_t term = 0;
  uint64_t position = 0;
  std::string key;
  std::optional<std::string> value;  ///< nothing: deleted
};

/// All that a check can use. What is absent is not checked.
struct History {
  std::vector<Operation> operations;
  /// The rows of the last primary after the run.
  std::optional<std::map<std::string, std::string>> final_rows;
  /// The log of the last primary.
  std::optional<std::vector<CommittedRow>> log;
};

std::string_view ToString(Outcome outcome);

/// One JSON line, as --history-out has it.
std::string ToLine(const Operation& operation);
std::string FinalRowLine(const std::string& key, const std::string& value);

/// Adds the lines of a --history-out file. kInvalidInput names the line.
Status ReadHistory(std::istream& in, History* history);

/// Reads the --history file of one stand-in member into its effective log:
/// what was discarded is left out. kInvalidInput names the line.
struct MemberLog {
  uint64_t promoted_in = 0;  ///< highest term it was promoted in; zero: none
  std::vector<CommittedRow> rows;
};
Result<MemberLog> ReadMemberLog(std::istream& in);

}  // namespace cardamomchute::history

#endif  // CARDAMOMCHUTE_LOADGEN_HISTORY_HISTORY_H_
