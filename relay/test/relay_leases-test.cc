#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <vector>

#include "cardamomchute/platform/line_protocol.h"
#include "cardamomchute/relay/relay.h"
#include "cardamomchute/telemetry/metrics.h"
#include "line_group.h"

namespace cardamomchute {
namespace {

const GroupId kGroup("g1");

/// A relay that asks for leases, which the test grants, and writes to a group.
struct LeasedRelay {
  LeasedRelay() : group(&io, "g1", 2) {
    uint16_t port = static_cast<uint16_t>(15000 + ::getpid() % 8000);
    RelayParams params;
    params.io = &io;
    params.vm = VmId("relay-a");
    params.callers = Address{"127.0.61.10", port};
    params.peers = Address{"127.0.61.11", port};
    params.caller_protocol = LineCallerProtocol();
    params.endpoint_protocol = LineEndpointProtocol();
    params.metrics = &metrics;
    params.report = [](const GroupId&, const EndpointId&, EndpointProblem) {};
    params.ask_leases = [this](uint64_t number, const std::vector<GroupId>&) {
      asked.push_back(number);
    };
    relay = std::make_shared<Relay>(std::move(params));
    BOOST_REQUIRE(relay->Start());
    DirectoryDelta delta;
    delta.endpoints.push_back(group.Record(0, "a", 1));
    delta.primaries[kGroup] = PrimaryRecord{primary, 1, 1, Term(1)};
    relay->OnDirectory(delta);
  }
  ~LeasedRelay() { relay->Stop(); }

  void RunUntil(const std::function<bool()>& done) {
    Time limit = Now() + Seconds(10);
    while (!done() && Now() < limit)
      io.run_one_for(std::chrono::milliseconds(10));
  }
  /// Returns once the request has been answered or has asked for a lease.
  void Write() {
    std::optional<Target> target = relay->PrimaryOf(kGroup);
    BOOST_REQUIRE(target);
    RunRequest request;
    request.session = request.run = relay->NextRun();
    request.writes = request.at_primary = true;
    request.target = request.hold = request.timeout = Seconds(3);
    request.id = "q";
    request.text = "WRITE k v";
    relay->Run(*target, std::move(request), true,
               [this](const RunAnswer& answer) { answers.push_back(answer); });
    size_t before = asked.size();
    RunUntil([&] { return asked.size() > before; });
  }
  void Grant(uint64_t number) {
    relay->OnLeases(number, Seconds(5), {{kGroup, primary}},
                    {{kGroup, Term(1)}});
  }

  boost::asio::io_context io;
  Metrics metrics;
  LineGroup group;
  EndpointId primary = group.member(0).id;
  std::shared_ptr<Relay> relay;
  std::vector<uint64_t> asked;
  std::vector<RunAnswer> answers;
};

BOOST_AUTO_TEST_SUITE(relay_leases)

BOOST_AUTO_TEST_CASE(a_grant_without_a_term_allows_no_commit) {
  LeasedRelay r;
  r.Write();
  BOOST_REQUIRE(!r.asked.empty());
  r.relay->OnLeases(r.asked.back(), Seconds(5), {{kGroup, r.primary}}, {});
  r.RunUntil([until = Now() + Millis(200)] { return Now() > until; });
  BOOST_TEST(r.answers.empty());
  BOOST_TEST(r.group.commits() == 0u);
}

BOOST_AUTO_TEST_CASE(
    a_revoked_lease_is_not_brought_back_by_an_earlier_request) {
  LeasedRelay r;
  r.Write();
  BOOST_REQUIRE(!r.asked.empty());
  std::vector<uint64_t> earlier = r.asked;
  r.relay->RevokeLease(kGroup);
  for (uint64_t number : earlier) r.Grant(number);
  r.RunUntil([until = Now() + Millis(200)] { return Now() > until; });
  BOOST_TEST(r.answers.empty());
  BOOST_TEST(r.group.commits() == 0u);
  // A request sent afterwards counts.
  BOOST_REQUIRE(r.asked.size() > earlier.size());
  r.Grant(r.asked.back());
  r.RunUntil([&] { return !r.answers.empty(); });
  BOOST_REQUIRE(r.answers.size() == 1u);
  BOOST_TEST((r.answers[0].outcome == StatementStatus::kDone));
}

BOOST_AUTO_TEST_CASE(a_revocation_ends_the_lease_that_is_held) {
  LeasedRelay r;
  r.Write();
  BOOST_REQUIRE(!r.asked.empty());
  r.Grant(r.asked.back());
  r.RunUntil([&] { return !r.answers.empty(); });
  BOOST_REQUIRE(r.answers.size() == 1u);
  r.relay->RevokeLease(kGroup);
  r.Write();
  r.RunUntil([until = Now() + Millis(200)] { return Now() > until; });
  BOOST_TEST(r.answers.size() == 1u);
  BOOST_TEST(r.group.commits() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
