#include "session_reports.h"

#include <utility>

namespace cardamomchute {

pgwire::Report MakeReport(std::string sqlstate, std::string message,
                          std::string hint) {
  pgwire::Report report;
  report.sqlstate = std::move(sqlstate);
  report.message = std::move(message);
  report.hint = std::move(hint);
  return report;
}

pgwire::Report NotRunReport(const std::string& reason) {
  return MakeReport("57P03", "the statement was not run: " + reason,
                    "run it again");
}

pgwire::Report UnknownReport(const std::string& reason) {
  return MakeReport("08007", "the statement's outcome is unknown: " + reason,
                    "look whether it ran, or repeat it with the same "
                    "cardamomchute.operation_key");
}

pgwire::Report BrokenReadReport(const std::string& reason) {
  return MakeReport("08006", "the answer broke off: " + reason,
                    "the statement only reads; run it again");
}

pgwire::Report LostBlockReport(const std::string& reason) {
  return MakeReport("40001", "the transaction was rolled back: " + reason,
                    "end the transaction with ROLLBACK and run it again");
}

pgwire::Report FailedBlockReport() {
  return MakeReport("25P02",
                    "current transaction is aborted, commands ignored until "
                    "end of transaction block",
                    "end the transaction with ROLLBACK and run it again");
}

pgwire::Report ShutdownReport() {
  pgwire::Report report =
      MakeReport("57P01", "this VM is about to stop", "connect again");
  report.severity = "FATAL";
  return report;
}

pgwire::Report EndingReport(const StatementEnd& end, bool in_block) {
  pgwire::Report report;
  if (static_cast<StatementOutcome>(end.outcome) == StatementOutcome::kNotRun) {
    report = NotRunReport("no endpoint could take it");
  } else {
    report = in_block ? LostBlockReport("the connection to the endpoint broke")
                      : UnknownReport("no valid answer came");
  }
  if (!end.sqlstate.empty()) report.sqlstate = end.sqlstate;
  if (!end.message.empty()) report.message = end.message;
  if (!end.hint.empty()) report.hint = end.hint;
  return report;
}

}  // namespace cardamomchute
