#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdlib>
#include <set>
#include <sstream>

#include "cardamomchute/base/settings.h"
#include "cardamomchute/operators/cli.h"

namespace cardamomchute {
namespace {

constexpr const char* kVersion = "0.1.0";
constexpr const char* kServerVariable = "CARDAMOMCHUTE_SERVER";

struct VerbSpec {
  const char* name;
  CliVerb verb;
  const char* summary;
};

constexpr VerbSpec kVerbs[] = {
    {"validate", CliVerb::kValidate, "check a document and list every fault"},
    {"diff", CliVerb::kDiff,
     "compare two files, or the accepted document with a file"},
    {"submit", CliVerb::kSubmit, "put a document in force in an environment"},
    {"promote", CliVerb::kPromote,
     "carry a document from one environment to another"},
    {"status", CliVerb::kStatus, "show an environment on one screen"},
    {"history", CliVerb::kHistory, "list an environment's accepted documents"},
    {"watch", CliVerb::kWatch, "show the status again whenever it changes"},
};

std::string Usage() {
  std::string text = "usage: cardamomchute COMMAND [ARGUMENTS]\n\n";
  for (const VerbSpec& spec : kVerbs) {
    std::string name = spec.name;
    name.resize(10, ' ');
    text += "  " + name + spec.summary + "\n";
  }
  return text +
         "\n`cardamomchute COMMAND --help` lists a command's arguments.\n"
         "exit codes: 0 ok, 1 invalid input, 2 usage, 3 conflict,\n"
         "  4 unavailable, 5 outcome unknown (repeat with the same --id),\n"
         "  6 not found, 7 unauthorized, 8 failed\n";
}

/// TCLAP's output, caught rather than printed.
class CapturedOutput : public TCLAP::StdOutput {
 public:
  void usage(TCLAP::CmdLineInterface& line) override {
    text_ << "usage: " << line.getProgramName() << "\n";
    for (TCLAP::Arg* argument : line.getArgList()) {
      if (argument->getName() == "ignore_rest") continue;
      text_ << "  " << argument->longID() << "\n      "
            << argument->getDescription() << "\n";
    }
  }
  void version(TCLAP::CmdLineInterface&) override { text_ << kVersion << "\n"; }
  std::string text() const { return text_.str(); }

 private:
  std::ostringstream text_;
};

/// Thrown for a fault in the arguments that TCLAP does not see.
struct Misuse {
  std::string text;
};

std::vector<Address> ParseServers(const std::string& list) {
  std::vector<Address> servers;
  std::istringstream in(list);
  std::string item;
  while (std::getline(in, item, ',')) {
    std::optional<Address> address = ParseAddress(item);
    if (!address) {
      throw Misuse{"--server \"" + item +
                   "\" is not an address; write IP:port[,IP:port...]"};
    }
    servers.push_back(*address);
  }
  return servers;
}

std::string FromEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

bool NeedsServer(const CliCommand& command) {
  if (command.verb == CliVerb::kValidate) return false;
  return command.verb != CliVerb::kDiff || command.files.size() < 2;
}

/// The arguments of all commands; each command adds those that it takes.
class Arguments {
 public:
  explicit Arguments(const VerbSpec& spec)
      : verb_(spec.verb), line_(spec.summary, ' ', kVersion) {
    line_.setExceptionHandling(false);
    line_.setOutput(&output_);
    line_.add(output_format_);
    if (verb_ != CliVerb::kValidate) {
      line_.add(server_);
      line_.add(patience_);
    }
    AddOwn();
  }

  CliCommand Parse(std::vector<std::string> arguments) {
    line_.parse(arguments);
    CliCommand command;
    command.verb = verb_;
    bool json = output_format_.getValue() == "json";
    command.output = json ? OutputFormat::kJson : OutputFormat::kText;
    command.servers = ParseServers(server_.getValue());
    command.patience = Seconds(patience_.getValue());
    command.files = files_.getValue();
    if (file_.isSet()) command.files.push_back(file_.getValue());
    command.environment = Environment(environment_.getValue());
    if (verb_ == CliVerb::kPromote)
      command.environment = Environment(to_.getValue());
    command.from = Environment(from_.getValue());
    if (replaces_.isSet()) command.replaces = Version(replaces_.getValue());
    if (from_version_.isSet())
      command.from_version = Version(from_version_.getValue());
    command.id = id_.getValue();
    command.submitter = submitter_.getValue();
    command.show_text = text_.getValue();
    command.interval = Millis(interval_.getValue());
    command.count = count_.getValue();
    Check(command);
    return command;
  }

  std::string captured() const { return output_.text(); }

 private:
  void AddOwn() {
    switch (verb_) {
      case CliVerb::kValidate:
        line_.add(files_);
        return;
      case CliVerb::kDiff:
        line_.add(environment_);
        line_.add(files_);
        return;
      case CliVerb::kSubmit:
        line_.add(environment_);
        line_.add(replaces_);
        line_.add(file_);
        AddSubmission();
        return;
      case CliVerb::kPromote:
        line_.add(from_);
        line_.add(to_);
        line_.add(from_version_);
        line_.add(replaces_);
        AddSubmission();
        return;
      case CliVerb::kStatus:
        line_.add(environment_);
        return;
      case CliVerb::kHistory:
        line_.add(environment_);
        line_.add(text_);
        return;
      case CliVerb::kWatch:
        line_.add(environment_);
        line_.add(interval_);
        line_.add(count_);
        return;
    }
  }

  void AddSubmission() {
    line_.add(id_);
    line_.add(submitter_);
  }

  void Check(const CliCommand& command) const {
    size_t files = command.files.size();
    bool has_environment = !command.environment.empty();
    if (NeedsServer(command) && command.servers.empty()) {
      throw Misuse{
          "no server; give --server IP:port of a VM's listen.http, "
          "or set CARDAMOMCHUTE_SERVER"};
    }
    switch (verb_) {
      case CliVerb::kValidate:
        if (files != 1) throw Misuse{"give one FILE to validate"};
        return;
      case CliVerb::kDiff:
        if (files == 2 && !has_environment) return;
        if (files == 1 && has_environment) return;
        throw Misuse{"give FILE_A FILE_B, or --environment E FILE"};
      case CliVerb::kPromote:
        if (!has_environment || command.from.empty())
          throw Misuse{"give --from and --to, the two environments' names"};
        if (command.from == command.environment)
          throw Misuse{"--from and --to must differ"};
        return;
      case CliVerb::kSubmit:
        if (files != 1) throw Misuse{"give the document with --file"};
        if (!command.replaces) {
          throw Misuse{
              "give --replaces with the version that you read, or 0 "
              "for the first; `status` shows it"};
        }
        break;
      default:
        break;
    }
    if (!has_environment) throw Misuse{"give --environment"};
  }

  template <typename T>
  using Value = TCLAP::ValueArg<T>;

  CliVerb verb_;
  CapturedOutput output_;
  TCLAP::CmdLine line_;
  std::vector<std::string> formats_ = {"text", "json"};
  TCLAP::ValuesConstraint<std::string> format_constraint_{formats_};
  Value<std::string> output_format_{"o",   "output", "how to print",
                                    false, "text",   &format_constraint_};
  Value<std::string> server_{
      "s",
      "server",
      "VMs to ask, tried in turn (or CARDAMOMCHUTE_SERVER)",
      false,
      FromEnvironment(kServerVariable),
      "IP:port[,IP:port...]"};
  Value<uint32_t> patience_{"",    "patience", "seconds until it gives up",
                            false, 20,         "seconds"};
  Value<std::string> environment_{
      "e", "environment", "the environment's name", false, "", "name"};
  Value<std::string> from_{"",    "from", "environment to take from",
                           false, "",     "name"};
  Value<std::string> to_{"",    "to", "environment to carry to",
                         false, "",   "name"};
  Value<uint64_t> replaces_{
      "r",   "replaces", "the version this one replaces; 0 for the first",
      false, 0,          "version"};
  Value<uint64_t> from_version_{
      "", "from-version", "the version to take; the current by default", false,
      0,  "version"};
  Value<std::string> file_{"f", "file", "the document", false, "", "file"};
  Value<std::string> id_{
      "",    "id", "submission id; repeat with the same after a lost answer",
      false, "",   "id"};
  Value<std::string> submitter_{"",
                                "submitter",
                                "who, for the history",
                                false,
                                FromEnvironment("USER"),
                                "name"};
  TCLAP::SwitchArg text_{"t", "text", "print the documents too"};
  Value<uint32_t> interval_{"",    "interval", "between two looks",
                            false, 1000,       "milliseconds"};
  Value<uint32_t> count_{"",    "count", "reports before it ends; 0: never",
                         false, 0,       "number"};
  TCLAP::UnlabeledMultiArg<std::string> files_{"files", "documents", false,
                                               "FILE"};
};

const VerbSpec* FindVerb(const std::string& name) {
  for (const VerbSpec& spec : kVerbs) {
    if (name == spec.name) return &spec;
  }
  return nullptr;
}

CliParse Misused(const std::string& text) {
  return CliParse{std::nullopt, text, ExitCode::kUsage};
}

CliParse ParseVerb(const VerbSpec& spec,
                   const std::vector<std::string>& arguments) {
  Arguments parser(spec);
  std::vector<std::string> with_name = {"cardamomchute " +
                                        std::string(spec.name)};
  with_name.insert(with_name.end(), arguments.begin() + 1, arguments.end());
  std::string hint =
      "\nsee `cardamomchute " + std::string(spec.name) + " --help`\n";
  try {
    return CliParse{parser.Parse(with_name), "", ExitCode::kOk};
  } catch (const TCLAP::ExitException&) {
    return CliParse{std::nullopt, parser.captured(), ExitCode::kOk};
  } catch (const TCLAP::ArgException& e) {
    return Misused(e.argId() + ": " + e.error() + hint);
  } catch (const Misuse& misuse) {
    return Misused(misuse.text + hint);
  }
}

}  // namespace

CliParse ParseCli(const std::vector<std::string>& arguments) {
  if (arguments.empty()) return Misused(Usage());
  const std::string& first = arguments[0];
  if (first == "--help" || first == "-h")
    return CliParse{std::nullopt, Usage(), ExitCode::kOk};
  if (first == "--version")
    return CliParse{std::nullopt, std::string(kVersion) + "\n", ExitCode::kOk};
  const VerbSpec* spec = FindVerb(first);
  if (spec == nullptr)
    return Misused("no command is named \"" + first + "\"\n\n" + Usage());
  return ParseVerb(*spec, arguments);
}

}  // namespace cardamomchute
