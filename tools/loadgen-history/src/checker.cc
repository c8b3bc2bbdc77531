#include "cardamomchute/loadgen_history/checker.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <unordered_map>

#include "stale.h"

namespace cardamomchute::history {
namespace {

constexpr size_t kMaxExamples = 20;
constexpr char kRanTwice[] = "2";

bool MayWrite(const Operation& o) {
  return o.kind == OperationKind::kWrite ||
         o.kind == OperationKind::kTransaction ||
         o.kind == OperationKind::kRollback;
}

/// "run.7" stays, its row is "run/o/run.7".
std::string RowOf(const Operation& o) {
  std::string run = o.id.substr(0, o.id.find('.'));
  return run + "/o/" + o.id;
}

/// The operation that a row tells of, if its key is one of the load's.
std::string WriterOf(const CommittedRow& row) {
  size_t kind = row.key.find('/');
  if (kind == std::string::npos || row.key.size() < kind + 3) return "";
  std::string_view rest = std::string_view(row.key).substr(kind);
  if (rest.starts_with("/o/")) return std::string(rest.substr(3));
  if (rest.starts_with("/t/")) return row.value.value_or("");
  return "";
}

class Checker {
 public:
  explicit Checker(const History& history) : history_(history) {}

  Verdict Run() {
    for (const Operation& o : history_.operations) CheckAnswer(o);
    CheckStale();
    if (history_.final_rows) CheckFinal();
    if (history_.log) CheckLog();
    return std::move(verdict_);
  }

 private:
  void Found(uint64_t* counter, const char* what, const std::string& detail) {
    ++*counter;
    if (verdict_.examples.size() >= kMaxExamples) return;
    verdict_.examples.push_back(std::string(what) + " " + detail);
  }

  void CheckAnswer(const Operation& o) {
    if (o.misdelivered) Found(&verdict_.misdelivered, "misdelivered", o.id);
    if (o.torn) Found(&verdict_.mixed, "mixed", o.id + " saw half of " + o.key);
  }

  void CheckStale() {
    for (const StaleRead& read : FindStaleReads(history_.operations)) {
      Found(&verdict_.stale, "stale",
            read.operation->id + " read " + read.operation->key + " as " +
                std::to_string(read.operation->seen) + ", expected " +
                std::to_string(read.expected) + " by " + read.rule);
    }
  }

  /// Whether the operation took effect, and how often.
  void CheckEffect(const Operation& o, bool ran, bool ran_twice) {
    if (ran_twice) Found(&verdict_.doubled, "doubled", o.id);
    bool keeps = o.kind != OperationKind::kRollback;
    if (keeps && o.outcome == Outcome::kOk && !ran) {
      Found(&verdict_.lost_acked, "lost_acked", o.id);
    }
    if (!keeps && ran) {
      Found(&verdict_.mixed, "mixed", o.id + " was rolled back and stayed");
    }
    bool refused =
        o.outcome == Outcome::kNotRun || o.outcome == Outcome::kFailed;
    if (keeps && refused && ran) {
      Found(&verdict_.ran_after_refusal, "ran_after_refusal", o.id);
    }
  }

  void CheckFinal() {
    const std::map<std::string, std::string>& rows = *history_.final_rows;
    for (const Operation& o : history_.operations) {
      if (!MayWrite(o)) continue;
      auto row = rows.find(RowOf(o));
      bool ran = row != rows.end();
      CheckEffect(o, ran, ran && row->second == kRanTwice);
    }
    for (const auto& [key, value] : rows) CheckPair(key, value);
  }

  /// Both rows of a pair come from one transaction.
  void CheckPair(const std::string& key, const std::string& value) {
    if (key.find("/t/") == std::string::npos || !key.ends_with("/a")) return;
    std::string other = key.substr(0, key.size() - 1) + "b";
    auto found = history_.final_rows->find(other);
    bool whole = found != history_.final_rows->end() && found->second == value;
    if (!whole) Found(&verdict_.mixed, "mixed", key + " differs from " + other);
  }

  void CheckLog() {
    using Commit = std::pair<uint64_t, uint64_t>;
    std::map<Commit, std::set<std::string>> writers;
    std::unordered_map<std::string, int> runs;
    std::set<Commit> with_a;
    std::set<Commit> with_b;
    for (const CommittedRow& row : *history_.log) {
      Commit commit(row.term, row.position);
      std::string writer = WriterOf(row);
      if (!writer.empty()) writers[commit].insert(writer);
      if (row.key.find("/o/") != std::string::npos && row.value) {
        ++runs[writer];
      }
      if (row.key.find("/t/") == std::string::npos) continue;
      if (row.key.ends_with("/a")) with_a.insert(commit);
      if (row.key.ends_with("/b")) with_b.insert(commit);
    }
    for (const auto& [commit, ids] : writers) CheckCommit(commit, ids);
    std::vector<Commit> halves;
    std::set_symmetric_difference(with_a.begin(), with_a.end(), with_b.begin(),
                                  with_b.end(), std::back_inserter(halves));
    for (const Commit& commit : halves) {
      Found(&verdict_.mixed, "mixed", "half a pair in " + ToText(commit));
    }
    // The rows at the end tell the same, where they are known.
    if (history_.final_rows) return;
    for (const Operation& o : history_.operations) {
      if (!MayWrite(o)) continue;
      auto found = runs.find(o.id);
      int times = found == runs.end() ? 0 : found->second;
      CheckEffect(o, times > 0, times > 1);
    }
  }

  static std::string ToText(const std::pair<uint64_t, uint64_t>& commit) {
    return "term " + std::to_string(commit.first) + " position " +
           std::to_string(commit.second);
  }

  void CheckCommit(const std::pair<uint64_t, uint64_t>& commit,
                   const std::set<std::string>& writers) {
    if (writers.size() < 2) return;
    Found(&verdict_.mixed, "mixed",
          "rows of " + *writers.begin() + " and " + *writers.rbegin() + " in " +
              ToText(commit));
  }

  const History& history_;
  Verdict verdict_;
};

}  // namespace

Verdict Check(const History& history) { return Checker(history).Run(); }

std::string ToString(const Verdict& v) {
  return "checker lost_acked=" + std::to_string(v.lost_acked) +
         " doubled=" + std::to_string(v.doubled) +
         " stale=" + std::to_string(v.stale) +
         " mixed=" + std::to_string(v.mixed) +
         " misdelivered=" + std::to_string(v.misdelivered);
}

}  // namespace cardamomchute::history
