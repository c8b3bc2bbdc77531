#include "load.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <set>
#include <thread>
#include <type_traits>

#include "cardamomchute/loadgen_history/checker.h"
#include "server.h"

namespace cardamomchute::loadgen {
namespace {

/// A stand-in member on a thread of its own.
class TestMember {
 public:
  explicit TestMember(standin::ServerOptions options = {}) {
    options.listen = Address{"127.0.0.1", 0};
    options.repl_listen = Address{"127.0.0.1", 0};
    server_ = std::make_unique<standin::Server>(&io_, options);
    BOOST_REQUIRE(server_->Start());
    thread_ = std::thread([this] { io_.run(); });
  }
  ~TestMember() {
    io_.stop();
    thread_.join();
  }

  /// Runs on the member's thread.
  template <typename F>
  std::invoke_result_t<F, standin::Member&> Ask(F f) {
    using Answer = std::invoke_result_t<F, standin::Member&>;
    std::packaged_task<Answer()> task(
        [this, f] { return f(server_->member()); });
    std::future<Answer> result = task.get_future();
    boost::asio::post(io_, [&task] { task(); });
    return result.get();
  }

  Address address() const { return {"127.0.0.1", server_->port()}; }
  Address repl() const { return {"127.0.0.1", server_->repl_port()}; }

 private:
  boost::asio::io_context io_{1};
  std::unique_ptr<standin::Server> server_;
  std::thread thread_;
};

LoadOptions Options(std::vector<Address> entries) {
  LoadOptions options;
  options.entries = std::move(entries);
  options.database = "d";
  options.user = "u";
  options.duration = std::chrono::milliseconds(300);
  options.run = "test";
  RankSpec rank;
  rank.name = "desk";
  rank.callers = 8;
  rank.transactions = 0.3;
  rank.staleness_ms = 0;
  options.ranks = {rank};
  return options;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(load)

BOOST_AUTO_TEST_CASE(LoadOnOneMemberIsClean) {
  TestMember member;
  LoadOptions options = Options({member.address()});
  options.roam = 0.1;
  Result<LoadResult> result = RunLoad(options);
  BOOST_REQUIRE(result);
  const RankTotals& totals = *result.value().ranks[0];
  BOOST_TEST(totals.ok > 0u);
  BOOST_TEST(totals.offered == totals.ok);
  BOOST_TEST(totals.latency.count() == totals.ok);
  std::set<history::OperationKind> kinds;
  for (const history::Operation& o : result.value().history.operations) {
    kinds.insert(o.kind);
  }
  BOOST_TEST(kinds.size() == 5u);
  history::Verdict verdict = history::Check(result.value().history);
  BOOST_TEST(verdict.clean(), ToString(verdict));
}

BOOST_AUTO_TEST_CASE(ReadsFromALaggingReplicaAreFoundStale) {
  constexpr std::chrono::seconds kGiveUp(20);
  TestMember primary;
  standin::ServerOptions follows;
  follows.primary = primary.repl();
  TestMember replica(follows);
  BOOST_REQUIRE(RunLoad(Options({primary.address()})));
  Position end = primary.Ask([](standin::Member& m) { return m.received(); });
  std::chrono::steady_clock::time_point give_up =
      std::chrono::steady_clock::now() + kGiveUp;
  while (replica.Ask([](standin::Member& m) { return m.replayed(); }) < end &&
         std::chrono::steady_clock::now() < give_up) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  replica.Ask([](standin::Member& m) {
    m.SetLag(Seconds(600));
    return true;
  });
  LoadOptions options = Options({primary.address(), replica.address()});
  options.final_entries = {primary.address()};
  options.run = "other";
  options.roam = 0.3;
  Result<LoadResult> result = RunLoad(options);
  BOOST_REQUIRE(result);
  history::Verdict verdict = history::Check(result.value().history);
  BOOST_TEST(verdict.stale > 0u);
  BOOST_TEST(verdict.lost_acked == 0u);
  BOOST_TEST(verdict.misdelivered == 0u);
}

BOOST_AUTO_TEST_CASE(RowsOfAMemberThatLostThemAreFoundLost) {
  TestMember member;
  TestMember empty;
  LoadOptions options = Options({member.address()});
  options.final_entries = {empty.address()};
  BOOST_REQUIRE(RunLoad(Options({empty.address()})));
  options.run = "other";
  Result<LoadResult> result = RunLoad(options);
  BOOST_REQUIRE(result);
  history::Verdict verdict = history::Check(result.value().history);
  BOOST_TEST(verdict.lost_acked > 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace cardamomchute::loadgen
