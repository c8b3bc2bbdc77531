/// cardamomchute-loadgen: a load of several ranks whose history is checked.
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "cardamomchute/base/log.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/support/listen.h"
#include "load.h"
#include "report.h"

namespace cardamomchute::loadgen {
namespace {

constexpr int kExitClean = 0;
constexpr int kExitFound = 1;
constexpr int kExitFailed = 2;

struct Arguments {
  using Text = TCLAP::ValueArg<std::string>;
  using Number = TCLAP::ValueArg<double>;
  using Texts = TCLAP::MultiArg<std::string>;

  TCLAP::CmdLine line{
      "Runs a load of several ranks and checks its history. Exits 0 when the "
      "history is clean, 1 when it is not, 2 when there is none.",
      ' ', "0.1"};
  Text entries{
      "", "entries", "where callers connect", false, "", "host:port,...", line};
  Text final_entries{"",
                     "final",
                     "where the rows are read in the end, such as the primary; "
                     "without it, at the entries",
                     false,
                     "",
                     "host:port,...",
                     line};
  Text database{"",    "database", "database of all callers",
                false, "postgres", "NAME",
                line};
  Text user{"", "user", "user of all callers", false, "postgres", "NAME", line};
  Number seconds{"", "seconds", "length of the load", false, 10, "N", line};
  Number timeout{"",  "timeout-ms", "patience with one statement", false, 10000,
                 "N", line};
  Text ranks{"",
             "ranks",
             "NAME:callers=8,reads=0.2,transactions=0.1,think_ms=10,rate=0,"
             "staleness_ms=50,target_ms=100;NAME:...",
             false,
             "load:callers=8,reads=0.5,transactions=0.1",
             "SPEC",
             line};
  Number operation_key{"",
                       "operation-key",
                       "share of writes that carry an operation key and are "
                       "retried with it",
                       false,
                       0,
                       "SHARE",
                       line};
  Number roam{"",
              "roam",
              "chance that a session moves to another entry after an operation",
              false,
              0,
              "SHARE",
              line};
  Number hand_over{
      "",    "hand-over", "share of moves that hand the session's floor over",
      false, 0.5,         "SHARE",
      line};
  TCLAP::ValueArg<uint64_t> seed{"",  "seed", "of all random choices", false, 1,
                                 "N", line};
  Text run{"",     "run", "name of the run, letters and digits", false, "",
           "NAME", line};
  Text history_out{"",     "history-out", "file for the history", false, "",
                   "FILE", line};
  Texts history_in{
      "",    "history-in", "checks these histories and runs nothing",
      false, "FILE",       line};
  Texts members{"",
                "members-history",
                "--history file of a stand-in member, one for each",
                false,
                "FILE",
                line};
};

Result<std::vector<Address>> ReadAddresses(const std::string& text) {
  std::vector<Address> addresses;
  std::istringstream parts(text);
  std::string part;
  while (std::getline(parts, part, ',')) {
    BOOST_OUTCOME_TRY(address, support::ReadAddress(part));
    addresses.push_back(address);
  }
  return addresses;
}

Error NoFile(const std::string& path) {
  return Error{ErrorKind::kIo, "can't open " + path, "check its name"};
}

/// The log of the member that was promoted last.
Status AddMemberLogs(const std::vector<std::string>& paths,
                     history::History* history) {
  uint64_t latest = 0;
  for (const std::string& path : paths) {
    std::ifstream file(path);
    if (!file) return NoFile(path);
    BOOST_OUTCOME_TRY(log, history::ReadMemberLog(file));
    // Of those never promoted, the first primary has the longest log.
    bool longer = !history->log || log.rows.size() > history->log->size();
    bool later =
        log.promoted_in > latest || (log.promoted_in == latest && longer);
    if (!later) continue;
    latest = log.promoted_in;
    history->log = std::move(log.rows);
  }
  return Ok();
}

Status WriteHistory(const std::string& path, const history::History& history) {
  if (path.empty()) return Ok();
  std::ofstream file(path);
  if (!file) return NoFile(path);
  for (const history::Operation& o : history.operations) {
    file << history::ToLine(o) << "\n";
  }
  if (!history.final_rows) return Ok();
  file << history::FinalRowLine("", "") << "\n";
  for (const auto& [key, value] : *history.final_rows) {
    file << history::FinalRowLine(key, value) << "\n";
  }
  return Ok();
}

Result<int> Judge(Arguments& arguments, history::History* history) {
  BOOST_OUTCOME_TRY(AddMemberLogs(arguments.members.getValue(), history));
  history::Verdict verdict = history::Check(*history);
  std::cout << Report(verdict) << std::flush;
  return verdict.clean() ? kExitClean : kExitFound;
}

Result<int> CheckOnly(Arguments& arguments) {
  history::History history;
  for (const std::string& path : arguments.history_in.getValue()) {
    std::ifstream file(path);
    if (!file) return NoFile(path);
    BOOST_OUTCOME_TRY(history::ReadHistory(file, &history));
  }
  return Judge(arguments, &history);
}

Result<LoadOptions> ToOptions(Arguments& a) {
  LoadOptions o;
  BOOST_OUTCOME_TRY(entries, ReadAddresses(a.entries.getValue()));
  BOOST_OUTCOME_TRY(final_entries, ReadAddresses(a.final_entries.getValue()));
  BOOST_OUTCOME_TRY(ranks, ParseRanks(a.ranks.getValue()));
  if (entries.empty()) {
    return Error{ErrorKind::kInvalidInput, "no entries",
                 "pass --entries host:port,... or --history-in FILE"};
  }
  o.entries = std::move(entries);
  o.final_entries = std::move(final_entries);
  o.ranks = std::move(ranks);
  o.database = a.database.getValue();
  o.user = a.user.getValue();
  o.duration = std::chrono::milliseconds(
      static_cast<int64_t>(a.seconds.getValue() * 1000));
  o.timeout =
      std::chrono::milliseconds(static_cast<int64_t>(a.timeout.getValue()));
  o.operation_key = a.operation_key.getValue();
  o.roam = a.roam.getValue();
  o.hand_over = a.hand_over.getValue();
  o.seed = a.seed.getValue();
  o.run = a.run.getValue();
  if (o.run.empty()) o.run = "r" + std::to_string(NowMicros());
  return o;
}

Result<int> Run(Arguments& arguments) {
  if (arguments.history_in.isSet()) return CheckOnly(arguments);
  BOOST_OUTCOME_TRY(options, ToOptions(arguments));
  BOOST_OUTCOME_TRY(result, RunLoad(options));
  std::cout << Report(options, result);
  BOOST_OUTCOME_TRY(
      WriteHistory(arguments.history_out.getValue(), result.history));
  return Judge(arguments, &result.history);
}

int Main(int argc, char** argv) {
  Arguments arguments;
  arguments.line.parse(argc, argv);
  StartLog("loadgen", LogLevel::kInfo);
  Result<int> code = Run(arguments);
  if (code) return code.value();
  std::cerr << "cardamomchute-loadgen: " << ToString(code.error()) << "\n";
  return kExitFailed;
}

}  // namespace
}  // namespace cardamomchute::loadgen

int main(int argc, char** argv) {
  return cardamomchute::loadgen::Main(argc, argv);
}
