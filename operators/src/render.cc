#include "cardamomchute/operators/render.h"

#include <fmt/format.h>

#include <algorithm>

namespace cardamomchute {
namespace {

constexpr size_t kShortHash = 12;
constexpr size_t kMaxListedVms = 12;

struct VmCounts {
  size_t all = 0;
  size_t alive = 0;
  size_t current = 0;  ///< alive and at the accepted version
};

Version CurrentVersion(const ClusterView& view) {
  return view.document ? view.document->version : Version();
}

bool IsCurrent(const VmState& vm, const ClusterView& view) {
  return vm.alive && vm.applied == CurrentVersion(view);
}

VmCounts CountVms(const ClusterView& view) {
  VmCounts counts;
  for (const auto& [id, vm] : view.vms) {
    ++counts.all;
    if (vm.alive) ++counts.alive;
    if (IsCurrent(vm, view)) ++counts.current;
  }
  return counts;
}

std::string OrDash(const std::string& text) {
  return text.empty() ? "-" : text;
}

std::string DescribeVm(const VmState& vm) {
  if (!vm.alive) return "gone";
  std::string text = "version " + std::to_string(vm.applied.value());
  return vm.draining ? text + ", draining" : text;
}

std::string RenderHead(const StatusReport& report) {
  const ClusterView& view = report.view;
  std::string out = "environment  " + view.environment.value() + "\n";
  if (!view.document) return out + "document     none accepted yet\n";
  VmCounts counts = CountVms(view);
  return out + fmt::format(
                   "document     version {}, hash {}, in force on {} of {} "
                   "VMs\n",
                   view.document->version.value(),
                   view.document->hash.substr(0, kShortHash), counts.current,
                   counts.alive);
}

std::string RenderMembers(const StatusReport& report) {
  std::string out = fmt::format("control      term {}", report.quorum_term);
  for (const ControlMemberStatus& member : report.members) {
    out += member.leader ? ", leader " : ", ";
    out += member.id.value();
    out += member.reachable ? fmt::format(" at {}", member.applied_index)
                            : std::string(" does not answer");
  }
  return out + "\n";
}

struct EndpointCounts {
  size_t all = 0;
  size_t leaving = 0;
};

EndpointCounts CountEndpoints(const ClusterView& view, const GroupId& group) {
  EndpointCounts counts;
  for (const auto& [id, endpoint] : view.endpoints) {
    if (endpoint.group != group) continue;
    ++counts.all;
    if (endpoint.leaving) ++counts.leaving;
  }
  return counts;
}

std::string DescribeMembers(const ClusterView& view, const GroupId& group) {
  EndpointCounts counts = CountEndpoints(view, group);
  if (counts.leaving == 0) return std::to_string(counts.all);
  return fmt::format("{}, {} leaving", counts.all, counts.leaving);
}

std::string RenderGroups(const ClusterView& view) {
  constexpr std::string_view kRow =
      "{:<16} {:<18} {:>5} {:<14} {:>6}  {:<14} {}\n";
  std::string out = "\n";
  out += fmt::format(fmt::runtime(kRow), "group", "primary", "term", "owner",
                     "epoch", "members", "");
  for (const auto& [id, group] : view.groups) {
    std::string note;
    if (group.failover)
      note = "failover to " + group.failover->candidate.value();
    out += fmt::format(fmt::runtime(kRow), id.value(),
                       OrDash(group.primary.value()), group.term.value(),
                       OrDash(group.owner.value()), group.epoch.value(),
                       DescribeMembers(view, id), note);
  }
  return out;
}

std::string RenderVms(const ClusterView& view) {
  VmCounts counts = CountVms(view);
  std::string out = fmt::format(
      "\nVMs          {} known, {} alive, {} at the accepted "
      "version\n",
      counts.all, counts.alive, counts.current);
  size_t listed = 0;
  for (const auto& [id, vm] : view.vms) {
    if (IsCurrent(vm, view) && !vm.draining) continue;
    if (++listed > kMaxListedVms) continue;
    out += fmt::format("  {:<14} {:<16} {}\n", id.value(), vm.zone.value(),
                       DescribeVm(vm));
  }
  if (listed > kMaxListedVms)
    out += fmt::format("  and {} more\n", listed - kMaxListedVms);
  return out;
}

/// Adds to what the control members reported, once for each subject.
class ProblemList {
 public:
  explicit ProblemList(const std::vector<Problem>& reported)
      : reported_(reported) {}

  void Add(const std::string& subject, const std::string& what,
           const std::string& remedy) {
    if (!IsReported(subject)) added_.push_back({subject + " " + what, remedy});
  }
  std::vector<Problem> Take() { return std::move(added_); }

 private:
  bool IsReported(const std::string& subject) const {
    return std::any_of(
        reported_.begin(), reported_.end(), [&](const Problem& problem) {
          bool same = problem.what.compare(0, subject.size(), subject) == 0;
          if (!same || problem.what.size() == subject.size()) return same;
          // "group a" is another subject than "group a2".
          char next = problem.what[subject.size()];
          return next == ' ' || next == '#';
        });
  }

  const std::vector<Problem>& reported_;
  std::vector<Problem> added_;
};

void FindGroupProblems(const ClusterView& view, ProblemList* problems) {
  if (!view.document) return;
  for (const GroupSpec& spec : view.document->document.groups) {
    auto it = view.groups.find(spec.id);
    bool owned = it != view.groups.end() && !it->second.owner.empty();
    bool has_primary = it != view.groups.end() && !it->second.primary.empty();
    std::string subject = "group " + spec.id.value();
    if (CountEndpoints(view, spec.id).all == 0) {
      problems->Add(subject, "has no members",
                    "let its endpoints announce themselves");
    } else if (!owned) {
      problems->Add(subject, "has no owner",
                    "check that entry VMs are alive and reach the control "
                    "members");
    } else if (!has_primary) {
      problems->Add(subject, "has no primary",
                    "check that one of its members is a primary and that the "
                    "owner reaches it");
    }
  }
}

}  // namespace

std::vector<Problem> FindProblems(const StatusReport& report) {
  ProblemList problems(report.problems);
  const ClusterView& view = report.view;
  if (!view.document) {
    problems.Add("environment " + view.environment.value(), "has no document",
                 "cardamomchute submit --environment " +
                     view.environment.value() + " --replaces 0 --file FILE");
  }
  for (const ControlMemberStatus& member : report.members) {
    if (member.reachable) continue;
    problems.Add("control member " + member.id.value(), "does not answer",
                 "start it again, or replace it if its disk is lost");
  }
  FindGroupProblems(view, &problems);
  return problems.Take();
}

std::string RenderStatus(const StatusReport& report) {
  std::string out = RenderHead(report) + RenderMembers(report) +
                    RenderGroups(report.view) + RenderVms(report.view);
  if (report.problems.empty()) return out + "\nproblems     none\n";
  out += "\nproblems\n";
  for (const Problem& problem : report.problems)
    out += fmt::format("  {}\n    -> {}\n", problem.what, problem.remedy);
  return out;
}

std::string RenderHistory(const std::vector<DocumentRecord>& history,
                          bool show_text) {
  std::string out;
  for (const DocumentRecord& record : history) {
    out +=
        fmt::format("version {:<5} hash {}  by {}  {}\n",
                    record.version.value(), record.hash.substr(0, kShortHash),
                    OrDash(record.submitter), record.origin);
    if (show_text) out += record.text + "\n";
  }
  return out.empty() ? "no version yet\n" : out;
}

std::string RenderDiff(const DocumentDiff& diff) {
  if (diff.lines.empty()) return "no difference\n";
  std::string out;
  if (diff.changes.empty()) out += "same meaning, different text\n";
  for (const std::string& change : diff.changes) out += change + "\n";
  out += "\n";
  for (const std::string& line : diff.lines) out += line + "\n";
  return out;
}

}  // namespace cardamomchute
