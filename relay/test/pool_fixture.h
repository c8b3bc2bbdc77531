/// A pool of connections to one member of a stand-in group, for tests.
#ifndef CARDAMOMCHUTE_RELAY_TEST_POOL_FIXTURE_H_
#define CARDAMOMCHUTE_RELAY_TEST_POOL_FIXTURE_H_

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cardamomchute/platform/line_protocol.h"
#include "cardamomchute/relay/endpoint_pool.h"
#include "line_group.h"

namespace cardamomchute {

inline SessionKey KeyOf(const std::string& relay, uint64_t session) {
  return SessionKey{RelayLink{VmId(relay)}, session};
}

/// What the pool needs leases for.
enum class Leases { kForNothing, kForCommits, kForAll };

/// A pool to one member of a stand-in group.
struct Fixture {
  explicit Fixture(size_t member = 0, size_t members = 3,
                   Leases leases = Leases::kForNothing)
      : group(&io, "g1", members) {
    EndpointPoolParams params;
    params.executor = io.get_executor();
    params.protocol = &protocol;
    params.endpoint = group.member(member).id;
    params.group = GroupId("g1");
    params.address = group.member(member).address;
    params.report = [this](EndpointProblem trouble) {
      troubles.push_back(trouble);
    };
    params.ask_floor =
        [this](std::function<void(std::optional<FloorAnswer>)> done) {
          ++floors_asked;
          if (hold_floor) {
            held_floor = std::move(done);
          } else {
            done(floor);
          }
        };
    if (leases != Leases::kForNothing)
      params.renew_lease = [this] { ++leases_asked; };
    params.reads_need_lease = leases == Leases::kForAll;
    pool = std::make_shared<EndpointPool>(std::move(params));
    bounds.slots = 2;
    bounds.connections = 4;
    bounds.is_primary = member == 0;
    pool->SetBounds(bounds);
  }
  ~Fixture() { pool->Close(); }

  RunRequest Request(RunStep step, const std::string& text) {
    RunRequest request;
    request.step = step;
    request.run = 1;
    request.writes = text.starts_with("WRITE");
    request.at_primary = true;
    request.target = Millis(500);
    request.hold = Seconds(2);
    request.timeout = Seconds(3);
    request.id = "q" + std::to_string(++next_id);
    request.text = text;
    return request;
  }

  /// The answers arrive in `answers`, in the order of their arrival.
  void Submit(RunRequest request, const std::string& caller = "a") {
    pool->Submit(
        std::move(request), KeyOf(caller, 1),
        [this](RunAnswer answer) { answers.push_back(std::move(answer)); });
  }

  RunAnswer Run(RunRequest request, const std::string& caller = "a") {
    size_t before = answers.size();
    Submit(std::move(request), caller);
    RunUntil([&] { return answers.size() > before; });
    BOOST_REQUIRE(answers.size() > before);
    return answers.back();
  }

  bool RunUntil(const std::function<bool()>& done) {
    Time limit = Now() + Seconds(10);
    while (!done() && Now() < limit)
      io.run_one_for(std::chrono::milliseconds(20));
    return done();
  }

  void Wait(Duration time) {
    RunUntil([until = Now() + time] { return Now() > until; });
  }

  HeldLease LeaseFor(Duration valid, Term term = Term(1)) {
    return ExtendLease(HeldLease(), group.member(0).id, Now(), valid, term);
  }

  boost::asio::io_context io;
  EndpointProtocol protocol = LineEndpointProtocol();
  LineGroup group;
  std::shared_ptr<EndpointPool> pool;
  PoolBounds bounds;
  std::vector<RunAnswer> answers;
  std::vector<EndpointProblem> troubles;
  std::optional<FloorAnswer> floor;
  bool hold_floor =
      false;  ///< questions stay open until `held_floor` is called
  std::function<void(std::optional<FloorAnswer>)> held_floor;
  int floors_asked = 0;
  int leases_asked = 0;
  int next_id = 0;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_RELAY_TEST_POOL_FIXTURE_H_
