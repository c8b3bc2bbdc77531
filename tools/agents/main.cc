/// Runs many control agents in one process against real control members, to
/// measure what one VM costs them and how soon a change is in force.
///
///     cardamomchute-agents --config entry-1.toml --document document.toml
///         --agents 400 --steady 10 --changes 50
///
/// Prints `agents leased=N leased_ms=...` once all hold a lease, is silent for
/// `--steady` seconds, then submits documents and prints `agents in_force ...`.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <vector>

#include "cardamomchute/base/log.h"
#include "cardamomchute/base/settings.h"
#include "cardamomchute/operators/document.h"
#include "cardamomchute/peers/control_agent.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;

constexpr Duration kGiveUp = Seconds(60);
constexpr std::chrono::milliseconds kPoll{5};
const Environment kEnvironment("agents");

struct Options {
  std::string config;
  std::string document;
  size_t agents = 1;
  int64_t steady_s = 5;
  size_t changes = 10;
};

Result<Document> ReadDocumentText(std::string_view text) {
  DocumentOutcome outcome = ParseDocument(text);
  if (outcome.document) return std::move(*outcome.document);
  return Error{ErrorKind::kInvalidInput, "the document has faults",
               "check it with `cardamomchute validate`"};
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(in), {});
}

/// All agents on one thread.
class Agents {
 public:
  Agents(std::vector<ControlSeed> seeds, size_t count) {
    for (size_t i = 0; i < count; ++i) {
      ControlAgentSettings settings;
      settings.vm = VmId("agent-" + std::to_string(i));
      settings.zone = Zone("zone-" + std::to_string(i % 3));
      settings.environment = kEnvironment;
      settings.seeds = seeds;
      agents_.push_back(
          std::make_shared<ControlAgent>(io_, settings, ReadDocumentText));
    }
  }

  void Start() {
    for (const std::shared_ptr<ControlAgent>& agent : agents_) agent->Start();
  }

  size_t Leased() const {
    Time now = Now();
    return static_cast<size_t>(
        std::count_if(agents_.begin(), agents_.end(),
                      [now](const std::shared_ptr<ControlAgent>& agent) {
                        return agent->lease().ValidAt(now);
                      }));
  }

  bool AllAt(Version version) const {
    return std::all_of(agents_.begin(), agents_.end(),
                       [version](const std::shared_ptr<ControlAgent>& agent) {
                         ViewPtr view = agent->views().Get();
                         return view && view->document &&
                                view->document->version >= version;
                       });
  }

  bool RunUntil(const std::function<bool()>& done, Duration limit) {
    Time end = Now() + limit;
    while (!done()) {
      if (Now() >= end) return false;
      io_.run_for(kPoll);
    }
    return true;
  }

  /// Submits `text` and waits until it is in force everywhere.
  Result<Duration> Change(Version replaces, const std::string& text) {
    Time start = Now();
    std::optional<Result<SubmitOutcome>> answer;
    SubmissionId id("agents-" + std::to_string(NowMicros()));
    agents_.front()->operators().submit(
        Submission{kEnvironment, replaces, id, "agents", text},
        [&answer](const Result<SubmitOutcome>& result) { answer = result; });
    bool done = RunUntil(
        [&] { return answer && (!*answer || AllAt(answer->value().version)); },
        kGiveUp);
    if (answer && !*answer) return answer->error();
    if (!done) {
      return Error{ErrorKind::kTimeout, "the change is not in force everywhere",
                   "see the control members' logs"};
    }
    return Now() - start;
  }

 private:
  asio::io_context io_;
  std::vector<std::shared_ptr<ControlAgent>> agents_;
};

int64_t Percentile(const std::vector<int64_t>& sorted, size_t percent) {
  return sorted[std::min(sorted.size() - 1, sorted.size() * percent / 100)];
}

int MeasureChanges(Agents& agents, const Options& options) {
  std::string text = ReadFile(options.document);
  std::vector<int64_t> times;
  for (size_t i = 0; i < options.changes; ++i) {
    Result<Duration> time = agents.Change(
        Version(i), text + "\n# change " + std::to_string(i) + "\n");
    if (!time) {
      std::cerr << ToString(time.error()) << "\n";
      return 1;
    }
    times.push_back(time.value().ms());
  }
  std::sort(times.begin(), times.end());
  std::cout << "agents in_force changes=" << times.size()
            << " ms_p50=" << Percentile(times, 50)
            << " ms_p99=" << Percentile(times, 99) << " ms_max=" << times.back()
            << " document_bytes=" << text.size() << std::endl;
  return 0;
}

int Run(const Options& options) {
  SettingsOutcome outcome = ParseSettings(ReadFile(options.config));
  if (!outcome.settings) {
    for (const Fault& fault : outcome.faults) {
      std::cerr << ToString(fault) << "\n";
    }
    return 1;
  }
  StartLog("agents", LogLevel::kError);
  Agents agents(outcome.settings->control_seeds, options.agents);
  Time start = Now();
  agents.Start();
  bool leased = agents.RunUntil(
      [&] { return agents.Leased() == options.agents; }, kGiveUp);
  std::cout << "agents leased=" << agents.Leased() << " of=" << options.agents
            << " leased_ms=" << (Now() - start).ms() << std::endl;
  if (!leased) return 1;
  size_t fewest = options.agents;
  agents.RunUntil(
      [&] {
        fewest = std::min(fewest, agents.Leased());
        return false;
      },
      Seconds(options.steady_s));
  std::cout << "agents steady fewest_leased=" << fewest << std::endl;
  return MeasureChanges(agents, options);
}

}  // namespace
}  // namespace cardamomchute

int main(int argc, char** argv) {
  using TCLAP::ValueArg;
  TCLAP::CmdLine line("Runs many control agents in one process.");
  ValueArg<std::string> config("", "config", "settings with the seeds", true,
                               "", "FILE", line);
  ValueArg<std::string> document("", "document", "document to submit", true, "",
                                 "FILE", line);
  ValueArg<size_t> agents("", "agents", "how many", false, 1, "N", line);
  ValueArg<int64_t> steady("", "steady", "seconds of renewals only", false, 5,
                           "S", line);
  ValueArg<size_t> changes("", "changes", "documents to submit", false, 10, "N",
                           line);
  line.parse(argc, argv);
  return cardamomchute::Run({config.getValue(), document.getValue(),
                             agents.getValue(), steady.getValue(),
                             changes.getValue()});
}
