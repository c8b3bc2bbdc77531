#include "cardamomchute/operators/render.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "sample_status.h"

namespace cardamomchute {
namespace {

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

bool HasProblem(const std::vector<Problem>& problems, const std::string& what) {
  return std::any_of(problems.begin(), problems.end(),
                     [&](const Problem& p) { return Has(p.what, what); });
}

constexpr ptrdiff_t kScreenLines = 40;

}  // namespace

BOOST_AUTO_TEST_CASE(a_status_tells_who_leads_owns_and_lags) {
  std::string text = RenderStatus(SampleStatus());
  BOOST_TEST(Has(text, "version 3"));
  BOOST_TEST(Has(text, "in force on 1 of 2 VMs"));
  BOOST_TEST(Has(text, "leader control-1 at 120"));
  BOOST_TEST(Has(text, "tickets1-a"));
  BOOST_TEST(Has(text, "failover to tickets1-b"));
  BOOST_TEST(Has(text, "version 2, draining"));
  BOOST_TEST(Has(text, "-> start it again"));
}

BOOST_AUTO_TEST_CASE(many_vms_still_fit_one_screen) {
  StatusReport report = SampleStatus();
  for (int i = 0; i < 500; ++i) {
    VmId id("vm-" + std::to_string(i));
    report.view.vms[id] = VmState{id, Zone("z"), Address{"127.0.0.1", 1}};
  }
  std::string text = RenderStatus(report);
  BOOST_TEST(std::count(text.begin(), text.end(), '\n') < kScreenLines);
  BOOST_TEST(Has(text, "more"));
}

BOOST_AUTO_TEST_CASE(problems_are_found_with_remedies) {
  StatusReport report = SampleStatus();
  BOOST_TEST(HasProblem(FindProblems(report), "control-2"));
  report.view.groups[GroupId("tickets1")].primary = EndpointId();
  BOOST_TEST(HasProblem(FindProblems(report), "no primary"));
  report.view.groups.clear();
  BOOST_TEST(HasProblem(FindProblems(report), "no owner"));
  report.view.endpoints.clear();
  BOOST_TEST(HasProblem(FindProblems(report), "no members"));
  report.view.document.reset();
  BOOST_TEST(HasProblem(FindProblems(report), "no document"));
  for (const Problem& problem : FindProblems(report))
    BOOST_TEST(!problem.remedy.empty());
}

BOOST_AUTO_TEST_CASE(what_the_control_members_found_is_not_repeated) {
  StatusReport report = SampleStatus();
  report.view.groups[GroupId("tickets1")].primary = EndpointId();
  report.problems = {{"control member control-2#1 does not answer", "start"},
                     {"group tickets1 has no known primary", "announce"}};
  BOOST_TEST(FindProblems(report).empty());
  report.problems = {{"group tickets10 has no known primary", "announce"}};
  BOOST_TEST(HasProblem(FindProblems(report), "group tickets1 "));
  BOOST_TEST(HasProblem(FindProblems(report), "control-2"));
}

BOOST_AUTO_TEST_CASE(a_sound_system_has_no_problems) {
  StatusReport report = SampleStatus();
  report.members.pop_back();
  BOOST_TEST(FindProblems(report).empty());
}

BOOST_AUTO_TEST_CASE(history_and_diff_are_printed) {
  std::vector<DocumentRecord> history = {
      {Version(1), "0123456789abcdef", "ann", "submit", "title"}};
  std::string text = RenderHistory(history, false);
  BOOST_TEST(Has(text, "version 1"));
  BOOST_TEST(!Has(text, "title"));
  BOOST_TEST(RenderHistory({}, false) == "no version yet\n");
  BOOST_TEST(RenderDiff({}) == "no difference\n");
  BOOST_TEST(Has(RenderDiff({{}, {"+# x"}}), "same meaning"));
}

}  // namespace cardamomchute
