/// An owner of one group of fake endpoints, with a control quorum of one
/// variable and callers that keep what they got.
#ifndef CARDAMOMCHUTE_ENDPOINTS_TEST_OWNER_FIXTURE_H_
#define CARDAMOMCHUTE_ENDPOINTS_TEST_OWNER_FIXTURE_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "cardamomchute/endpoints/owner.h"
#include "fake_endpoint.h"

namespace cardamomchute {

/// A caller's channel and all that came back on it.
struct TestCaller {
  ToOwnerSink to_owner;
  std::string bytes;
  std::vector<StatementEnd> ends;
  std::vector<ChannelReset> resets;
  size_t unread = 0;
  bool reads = true;  ///< gives credit back at once
  uint64_t next = 1;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  TestCaller() = default;
  TestCaller(const TestCaller&) = delete;
  TestCaller& operator=(const TestCaller&) = delete;
  ~TestCaller() { *alive = false; }

  const StatementEnd& last() const { return ends.back(); }
  StatementOutcome outcome() const {
    return static_cast<StatementOutcome>(ends.back().outcome);
  }
};

struct OwnerFixture {
  boost::asio::io_context io;
  LeaseClock lease;
  Metrics metrics;
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
  std::shared_ptr<ClusterView> view = std::make_shared<ClusterView>();
  std::unique_ptr<Owner> owner;
  std::vector<GroupChange> proposals;
  bool refuse_proposals = false;
  std::vector<ProbeObservation> observations;
  GroupId group{"g"};
  VmId vm{"vm-1"};

  explicit OwnerFixture(size_t members = 1) {
    lease.ExtendTo(Now() + Seconds(3600));
    Document document;
    document.title = "test";
    document.ranks = {RankSpec{RankName("urgent"), Millis(200), 4, 0.0, 100},
                      RankSpec{RankName("bulk"), Seconds(5), 1, 0.2, 100}};
    GroupSpec spec;
    spec.id = group;
    spec.database = "db";
    spec.user = "app";
    spec.connections = 20;
    spec.slots = 2;
    spec.ack = AckMode::kPrimary;
    document.groups = {spec};
    AcceptedDocument accepted;
    accepted.version = Version(1);
    accepted.document = document;
    view->document = accepted;
    GroupState state;
    state.owner = vm;
    state.epoch = Epoch(1);
    view->groups[group] = state;
    for (size_t i = 0; i < members; ++i) AddMember();
    endpoints[0]->primary = true;
    for (size_t i = 1; i < members; ++i) {
      endpoints[0]->replicas.push_back(endpoints[i].get());
    }
    KnowPrimary(0, 1);
  }

  ~OwnerFixture() {
    owner.reset();
    endpoints.clear();
    io.poll();
  }

  EndpointId Id(size_t i) const { return EndpointId("e" + std::to_string(i)); }

  void AddMember() {
    endpoints.push_back(std::make_unique<FakeEndpoint>(io));
    size_t i = endpoints.size() - 1;
    EndpointState state;
    state.id = Id(i);
    state.group = group;
    state.address = endpoints[i]->address();
    state.zone = Zone("z" + std::to_string(i));
    view->endpoints[state.id] = state;
  }

  GroupSpec& spec() { return view->document->document.groups[0]; }
  LimitSpec& limits() { return view->document->document.limits; }
  GroupState& record() { return view->groups[group]; }

  void KnowPrimary(size_t i, uint64_t term) {
    record().primary = Id(i);
    record().term = Term(term);
  }

  void Start() {
    OwnerParams params;
    params.vm = vm;
    params.zone = Zone("z0");
    params.thread = &io;
    params.lease = &lease;
    params.view = [this] { return ViewPtr(view); };
    params.propose = [this](GroupChange change,
                            std::function<void(Status)> done) {
      boost::asio::post(io, [this, change, done] { Propose(change, done); });
    };
    params.ask_observers =
        [this](const EndpointState&, Duration,
               std::function<void(std::vector<ProbeObservation>)> done) {
          boost::asio::post(io, [this, done] { done(observations); });
        };
    params.metrics = &metrics;
    owner = std::make_unique<Owner>(std::move(params));
    owner->OnView(view);
  }

  /// The control quorum: changes the record and publishes a new view.
  void Propose(const GroupChange& change,
               const std::function<void(Status)>& done) {
    proposals.push_back(change);
    if (refuse_proposals) {
      return done(Error{ErrorKind::kConflict, "refused", "retry"});
    }
    view = std::make_shared<ClusterView>(*view);
    GroupState& state = record();
    switch (change.kind) {
      case GroupChange::Kind::kFailoverIntent:
        state.failover = FailoverIntent{change.endpoint, change.term};
        break;
      case GroupChange::Kind::kPrimary:
        state.primary = change.endpoint;
        state.term = change.term;
        state.failover.reset();
        break;
      case GroupChange::Kind::kRelease:
        state.owner = VmId();
        break;
    }
    Publish();
    done(Ok());
  }

  void Publish() {
    if (owner) owner->OnView(view);
  }

  /// Runs until `done`; false when that takes longer than `limit`.
  bool Until(const std::function<bool()>& done, Duration limit = Seconds(20)) {
    Time end = Now() + limit;
    while (!done()) {
      if (Now() > end) return false;
      io.restart();
      io.run_for(std::chrono::milliseconds(1));
    }
    return true;
  }

  void RunFor(Duration time) {
    Time end = Now() + time;
    Until([end] { return Now() >= end; });
  }

  std::unique_ptr<TestCaller> Connect(const std::string& session = "",
                                      std::optional<Floor> floor = {}) {
    std::unique_ptr<TestCaller> caller = std::make_unique<TestCaller>();
    OpenChannel open;
    open.group = group;
    open.session = SessionId(session);
    open.floor = floor;
    open.entry = vm;
    TestCaller* raw = caller.get();
    caller->to_owner =
        owner->Open(open, [raw, alive = raw->alive](FromOwner message) {
          if (!*alive) return;
          if (AnswerData* data = std::get_if<AnswerData>(&message)) {
            raw->bytes += data->bytes;
            uint32_t size = static_cast<uint32_t>(data->bytes.size());
            if (raw->reads) return raw->to_owner(Credit{size});
            raw->unread += size;
          } else if (StatementEnd* end = std::get_if<StatementEnd>(&message)) {
            raw->ends.push_back(*end);
          } else {
            raw->resets.push_back(std::get<ChannelReset>(message));
          }
        });
    return caller;
  }

  static Statement Make(TestCaller& caller, const std::string& sql,
                        StatementKind kind) {
    Statement statement;
    statement.number = caller.next++;
    statement.kind = static_cast<uint8_t>(kind);
    statement.rank = Rank(0);
    statement.max_staleness = kAnyStaleness;
    statement.deadline = Seconds(10);
    statement.bytes = pgwire::Query(sql);
    statement.changes_state = kind != StatementKind::kRead;
    return statement;
  }

  void Send(TestCaller& caller, const std::string& sql,
            StatementKind kind = StatementKind::kWrite) {
    caller.to_owner(Make(caller, sql, kind));
  }

  /// Sends and waits for the end; false without one.
  bool Run(TestCaller& caller, const Statement& statement) {
    size_t before = caller.ends.size() + caller.resets.size();
    caller.to_owner(statement);
    return Until(
        [&] { return caller.ends.size() + caller.resets.size() > before; });
  }
  bool Run(TestCaller& caller, const std::string& sql,
           StatementKind kind = StatementKind::kWrite) {
    return Run(caller, Make(caller, sql, kind));
  }
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_TEST_OWNER_FIXTURE_H_
