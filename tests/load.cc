#include "load.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

namespace cardamomchute::testing {
namespace {

constexpr int kExtraSeconds = 60;
constexpr char kClean[] =
    "checker lost_acked=0 doubled=0 stale=0 mixed=0 misdelivered=0";
constexpr char kRanks[] =
    "urgent:callers=6,reads=0.4,transactions=0.2,think_ms=10,target_ms=5000;"
    "browse:callers=6,reads=1,think_ms=10,staleness_ms=2000,target_ms=5000";

void AddRow(const std::string& line, LoadReport* report) {
  std::istringstream words(line);
  std::string rank;
  uint64_t offered = 0;
  uint64_t ok = 0;
  uint64_t in_time = 0;
  uint64_t not_run = 0;
  uint64_t failed = 0;
  uint64_t unknown = 0;
  words >> rank >> offered >> ok >> in_time >> not_run >> failed >> unknown;
  if (!words) return;
  report->ok += ok;
  report->not_run += not_run;
  report->failed += failed;
  report->unknown += unknown;
}

}  // namespace

void Sleep(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

Load::Load(Cluster& cluster, int seconds, uint64_t seed)
    : output_file_(cluster.folder() + "/load.txt") {
  std::string entries;
  for (const VmProcess& vm : cluster.entries) {
    if (!entries.empty()) entries += ",";
    entries += "127.0.0.1:" + std::to_string(vm.callers_port);
  }
  process_ = std::make_unique<Process>(
      "cardamomchute-loadgen",
      std::vector<std::string>{
          "--entries",       entries,
          "--database",      kDatabase,
          "--user",          "loadgen",
          "--seconds",       std::to_string(seconds),
          "--ranks",         kRanks,
          "--roam",          "0.05",
          "--hand-over",     "0.5",
          "--operation-key", "0.3",
          "--seed",          std::to_string(seed),
          "--history-out",   cluster.folder() + "/load.jsonl"},
      output_file_);
}

LoadReport Load::Wait() {
  int waited = 0;
  while (process_->Running() && waited++ < kExtraSeconds * 10) Sleep(100);
  BOOST_REQUIRE_MESSAGE(!process_->Running(), "the load does not end");
  LoadReport report;
  std::ifstream file(output_file_);
  std::string line;
  while (std::getline(file, line)) {
    report.output += line + "\n";
    if (line.rfind(kClean, 0) == 0) report.clean = true;
    AddRow(line, &report);
  }
  return report;
}

void RequireWritable(Cluster& cluster) {
  for (VmProcess& vm : cluster.entries) {
    if (!vm.process->Running()) continue;
    Answer answer = RunUntilOk(vm.callers_port, kUser, kDatabase,
                               "INSERT INTO t (k, v) VALUES ('after', 'x') ON "
                               "CONFLICT (k) DO UPDATE SET v = EXCLUDED.v",
                               kGiveUpSeconds);
    BOOST_REQUIRE_MESSAGE(answer.ok, vm.id + ": " + answer.message);
  }
}

LoadReport RunUnderLoad(Cluster& cluster, int seconds, uint64_t seed,
                        const std::function<void()>& fault) {
  Load load(cluster, seconds, seed);
  Sleep(1000);
  fault();
  RequireWritable(cluster);
  LoadReport report = load.Wait();
  BOOST_TEST_MESSAGE(report.output);
  BOOST_TEST(report.clean, report.output);
  BOOST_TEST(report.ok > 0u);
  return report;
}

}  // namespace cardamomchute::testing
