#include <chrono>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

#include "cardamomchute/operators/cli.h"
#include "cardamomchute/operators/client.h"
#include "cardamomchute/operators/document.h"
#include "cardamomchute/operators/json.h"
#include "cardamomchute/operators/render.h"

namespace cardamomchute {
namespace {

/// A command under way and where it prints.
struct Run {
  const CliCommand& command;
  std::ostream& out;
  std::ostream& err;

  bool json() const { return command.output == OutputFormat::kJson; }
  Client client() const {
    Client client;
    client.servers = command.servers;
    client.patience = command.patience;
    return client;
  }
};

ExitCode Fail(const Run& run, const Error& error) {
  if (run.json())
    run.err << EncodeError(error) << "\n";
  else
    run.err << ToString(error) << "\n";
  return ExitCodeOf(error.kind);
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (in) text << in.rdbuf();
  if (in) return text.str();
  return Error{ErrorKind::kNotFound, "can't read " + path,
               "check the file's name and rights"};
}

SubmissionId NewSubmissionId() {
  std::random_device random;
  std::ostringstream id;
  id << std::hex << random() << "-" << random();
  return SubmissionId(id.str());
}

ExitCode FailWithFaults(const Run& run, const std::string& path,
                        const std::vector<Fault>& faults) {
  if (run.json()) {
    run.err << EncodeFaults(faults) << "\n";
    return ExitCode::kInvalidInput;
  }
  for (const Fault& fault : faults)
    run.err << path << ": " << ToString(fault) << "\n";
  return ExitCode::kInvalidInput;
}

ExitCode RunValidate(const Run& run) {
  const std::string& path = run.command.files[0];
  Result<std::string> text = ReadFile(path);
  if (!text.has_value()) return Fail(run, text.error());
  DocumentOutcome outcome = ParseDocument(text.value());
  if (!outcome.document) return FailWithFaults(run, path, outcome.faults);
  std::string hash = Sha256Hex(text.value());
  if (run.json())
    run.out << "{\"faults\":[],\"hash\":\"" << hash << "\"}\n";
  else
    run.out << path << ": valid, hash " << hash << "\n";
  return ExitCode::kOk;
}

/// The text that is in force in the command's environment.
Result<std::string> AcceptedText(const Run& run) {
  BOOST_OUTCOME_TRY(status, GetStatus(run.client(), run.command.environment));
  if (status.view.document) return status.view.document->text;
  return Error{ErrorKind::kNotFound,
               "environment \"" + run.command.environment.value() +
                   "\" has no document yet",
               "submit the first one with --replaces 0"};
}

ExitCode RunDiff(const Run& run) {
  const std::vector<std::string>& files = run.command.files;
  bool two_files = files.size() == 2;
  Result<std::string> from = two_files ? ReadFile(files[0]) : AcceptedText(run);
  if (!from.has_value()) return Fail(run, from.error());
  Result<std::string> to = ReadFile(files.back());
  if (!to.has_value()) return Fail(run, to.error());
  DocumentDiff diff = DiffDocuments(from.value(), to.value());
  if (run.json())
    run.out << EncodeDiff(diff) << "\n";
  else
    run.out << RenderDiff(diff);
  return ExitCode::kOk;
}

ExitCode PrintOutcome(const Run& run, const SubmissionId& id,
                      const Result<SubmitOutcome>& result) {
  if (!result.has_value()) {
    ExitCode code = Fail(run, result.error());
    if (code == ExitCode::kUnknown && !run.json()) {
      run.err << "it may have been accepted; repeat the command with --id "
              << id << " to learn it\n";
    }
    return code;
  }
  const SubmitOutcome& outcome = result.value();
  if (run.json()) {
    run.out << EncodeSubmitOutcome(outcome) << "\n";
    return ExitCode::kOk;
  }
  run.out << "accepted as version " << outcome.version << ", hash "
          << outcome.hash << (outcome.repeated ? " (sent before)" : "") << "\n";
  return ExitCode::kOk;
}

SubmissionId IdOf(const Run& run) {
  SubmissionId id =
      run.command.id.empty() ? NewSubmissionId() : SubmissionId(run.command.id);
  run.err << "submission id " << id << "\n";
  return id;
}

ExitCode RunSubmit(const Run& run) {
  const std::string& path = run.command.files[0];
  Result<std::string> text = ReadFile(path);
  if (!text.has_value()) return Fail(run, text.error());
  DocumentOutcome checked = ParseDocument(text.value());
  if (!checked.document) return FailWithFaults(run, path, checked.faults);
  Submission submission;
  submission.environment = run.command.environment;
  submission.replaces = *run.command.replaces;
  submission.id = IdOf(run);
  submission.submitter = run.command.submitter;
  submission.text = std::move(text).value();
  return PrintOutcome(run, submission.id, Submit(run.client(), submission));
}

Result<Version> VersionOf(const Run& run, const Environment& environment,
                          std::optional<Version> given) {
  if (given) return *given;
  BOOST_OUTCOME_TRY(status, GetStatus(run.client(), environment));
  return status.view.document ? status.view.document->version : Version();
}

ExitCode RunPromote(const Run& run) {
  const CliCommand& command = run.command;
  Result<Version> from = VersionOf(run, command.from, command.from_version);
  if (!from.has_value()) return Fail(run, from.error());
  Result<Version> replaces =
      VersionOf(run, command.environment, command.replaces);
  if (!replaces.has_value()) return Fail(run, replaces.error());
  Promotion promotion;
  promotion.from = command.from;
  promotion.to = command.environment;
  promotion.from_version = from.value();
  promotion.replaces = replaces.value();
  promotion.id = IdOf(run);
  promotion.submitter = command.submitter;
  return PrintOutcome(run, promotion.id, Promote(run.client(), promotion));
}

Result<StatusReport> FullStatus(const Run& run) {
  BOOST_OUTCOME_TRY(report, GetStatus(run.client(), run.command.environment));
  std::vector<Problem> found = FindProblems(report);
  report.problems.insert(report.problems.end(), found.begin(), found.end());
  return report;
}

std::string Print(const Run& run, const StatusReport& report) {
  return run.json() ? EncodeStatus(report) + "\n" : RenderStatus(report);
}

ExitCode RunStatus(const Run& run) {
  Result<StatusReport> report = FullStatus(run);
  if (!report.has_value()) return Fail(run, report.error());
  run.out << Print(run, report.value());
  return ExitCode::kOk;
}

ExitCode RunHistory(const Run& run) {
  Result<std::vector<DocumentRecord>> history =
      GetHistory(run.client(), run.command.environment);
  if (!history.has_value()) return Fail(run, history.error());
  if (run.json())
    run.out << EncodeHistory(history.value()) << "\n";
  else
    run.out << RenderHistory(history.value(), run.command.show_text);
  return ExitCode::kOk;
}

/// Prints each report that differs from the one before it.
ExitCode RunWatch(const Run& run) {
  std::string last;
  uint32_t printed = 0;
  for (;;) {
    Result<StatusReport> report = FullStatus(run);
    std::string text = report.has_value() ? Print(run, report.value()) : "";
    if (!report.has_value()) Fail(run, report.error());
    bool changed = !text.empty() && text != last;
    if (changed) {
      run.out << text << std::endl;
      last = text;
      ++printed;
    }
    bool enough = run.command.count != 0 && printed >= run.command.count;
    if (enough) return ExitCode::kOk;
    std::this_thread::sleep_for(
        std::chrono::milliseconds(run.command.interval.ms()));
  }
}

}  // namespace

ExitCode ExitCodeOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidInput:
      return ExitCode::kInvalidInput;
    case ErrorKind::kConflict:
      return ExitCode::kConflict;
    case ErrorKind::kUnavailable:
    case ErrorKind::kNotLeader:
      return ExitCode::kUnavailable;
    case ErrorKind::kTimeout:
      return ExitCode::kUnknown;
    case ErrorKind::kNotFound:
      return ExitCode::kNotFound;
    case ErrorKind::kUnauthorized:
      return ExitCode::kUnauthorized;
    case ErrorKind::kCorrupt:
    case ErrorKind::kIo:
    case ErrorKind::kProtocol:
      return ExitCode::kFailed;
  }
  return ExitCode::kFailed;
}

ExitCode RunCli(const CliCommand& command, std::ostream& out,
                std::ostream& err) {
  Run run{command, out, err};
  switch (command.verb) {
    case CliVerb::kValidate:
      return RunValidate(run);
    case CliVerb::kDiff:
      return RunDiff(run);
    case CliVerb::kSubmit:
      return RunSubmit(run);
    case CliVerb::kPromote:
      return RunPromote(run);
    case CliVerb::kStatus:
      return RunStatus(run);
    case CliVerb::kHistory:
      return RunHistory(run);
    case CliVerb::kWatch:
      return RunWatch(run);
  }
  return ExitCode::kFailed;
}

}  // namespace cardamomchute
