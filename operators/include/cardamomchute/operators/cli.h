/// The operators' command line: what it accepts, and what each exit code
/// means.
#ifndef CARDAMOMCHUTE_OPERATORS_CLI_H_
#define CARDAMOMCHUTE_OPERATORS_CLI_H_

#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

enum class ExitCode : int {
  kOk = 0,
  kInvalidInput = 1,  ///< a document or argument breaks a rule
  kUsage = 2,         ///< the command line is not understood
  kConflict = 3,      ///< somebody else's version came first
  kUnavailable = 4,   ///< nobody answered, or no quorum; nothing was done
  kUnknown = 5,       ///< sent, but no answer; repeat with the same --id
  kNotFound = 6,      ///< no such environment, version or file
  kUnauthorized = 7,
  kFailed = 8  ///< anything else
};

ExitCode ExitCodeOf(ErrorKind kind);

enum class CliVerb {
  kValidate,
  kDiff,
  kSubmit,
  kPromote,
  kStatus,
  kHistory,
  kWatch
};

enum class OutputFormat { kText, kJson };

/// One command line, read and checked.
struct CliCommand {
  CliVerb verb = CliVerb::kStatus;
  OutputFormat output = OutputFormat::kText;
  std::vector<Address> servers;
  Duration patience = Seconds(20);
  std::vector<std::string> files;
  Environment environment;          ///< for promote: where to
  Environment from;                 ///< promote
  std::optional<Version> replaces;  ///< promote: nothing means the current
  std::optional<Version> from_version;
  std::string id;  ///< empty: a new one is made
  std::string submitter;
  bool show_text = false;  ///< history
  Duration interval = Seconds(1);
  uint32_t count = 0;  ///< watch: reports before it ends; 0 never
};

/// What the arguments ask for: a command, or a text to print and an exit code
/// (--help, --version, and every misuse).
struct CliParse {
  std::optional<CliCommand> command;
  std::string text;
  ExitCode exit_code = ExitCode::kOk;
};

/// `arguments` without the program's name.
CliParse ParseCli(const std::vector<std::string>& arguments);

/// Runs one command; results go to `out`, errors to `err`.
ExitCode RunCli(const CliCommand& command, std::ostream& out,
                std::ostream& err);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_OPERATORS_CLI_H_
