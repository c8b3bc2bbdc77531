/// A checked load on a cluster while a test brings about its faults.
#ifndef CARDAMOMCHUTE_TESTS_LOAD_H_
#define CARDAMOMCHUTE_TESTS_LOAD_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cluster.h"

namespace cardamomchute::testing {

/// What the load generator printed of one run.
struct LoadReport {
  bool clean = false;  ///< nothing lost, doubled, stale, mixed, misdelivered
  uint64_t ok = 0;
  uint64_t not_run = 0;
  uint64_t failed = 0;
  uint64_t unknown = 0;
  std::string output;
};

/// Callers of two ranks, which write, read, run transactions, roam between
/// entries, and retry with operation keys.
class Load {
 public:
  Load(Cluster& cluster, int seconds, uint64_t seed);
  LoadReport Wait();

 private:
  std::string output_file_;
  std::unique_ptr<Process> process_;
};

void Sleep(int milliseconds);

/// Runs `fault` one second into a load of `seconds`; requires that the history
/// is clean and that a write succeeds at `survivor` afterwards.
LoadReport RunUnderLoad(Cluster& cluster, int seconds, uint64_t seed,
                        const std::function<void()>& fault);

/// Requires that every entry that runs takes a write.
void RequireWritable(Cluster& cluster);

}  // namespace cardamomchute::testing

#endif  // CARDAMOMCHUTE_TESTS_LOAD_H_
