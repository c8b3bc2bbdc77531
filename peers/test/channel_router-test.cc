#include "cardamomchute/peers/channel_router.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace cardamomchute {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::seconds kGiveUp(10);

/// One leg that a router opened, as the owner at its end sees it.
struct Leg {
  Address address;
  OpenChannel open;
  FromOwnerSink sink;
  std::vector<ToOwner> got;
};

struct Fixture {
  asio::io_context io;
  ViewPtr view;
  std::vector<std::shared_ptr<Leg>> legs;
  std::shared_ptr<ChannelRouter> router;
  std::vector<FromOwner> answers;
  ToOwnerSink to_owner;

  Fixture() {
    RouterParams params;
    params.vm = VmId("self");
    params.thread = &io;
    params.view = [this] { return view; };
    params.open_local = [this](const OpenChannel& open, FromOwnerSink sink) {
      return AddLeg(Address{}, open, std::move(sink));
    };
    params.open_remote = [this](const Address& address, const OpenChannel& open,
                                FromOwnerSink sink) {
      return AddLeg(address, open, std::move(sink));
    };
    router = std::make_shared<ChannelRouter>(std::move(params));
    OpenChannel open;
    open.group = GroupId("g");
    to_owner = router->Open(open, [this](FromOwner message) {
      answers.push_back(std::move(message));
      io.stop();
    });
  }

  ToOwnerSink AddLeg(const Address& address, const OpenChannel& open,
                     FromOwnerSink sink) {
    std::shared_ptr<Leg> leg = std::make_shared<Leg>();
    leg->address = address;
    leg->open = open;
    leg->sink = std::move(sink);
    legs.push_back(leg);
    return [leg](ToOwner message) { leg->got.push_back(std::move(message)); };
  }

  void SetOwner(const std::string& vm, uint64_t epoch) {
    ClusterView next;
    next.groups[GroupId("g")] = GroupState{VmId(vm), Epoch(epoch)};
    next.vms[VmId("self")] = VmState{VmId("self"), Zone("a"), Address{"h", 1}};
    next.vms[VmId("other")] =
        VmState{VmId("other"), Zone("b"), Address{"h", 2}};
    view = std::make_shared<const ClusterView>(next);
    router->OnView();
  }

  void Send(StatementKind kind, Duration deadline = Seconds(5)) {
    Statement statement;
    statement.number = ++number;
    statement.kind = static_cast<uint8_t>(kind);
    statement.deadline = deadline;
    statement.bytes = "Q";
    to_owner(std::move(statement));
  }

  void End(const std::shared_ptr<Leg>& leg, char status = 'I') {
    StatementEnd end;
    end.number = number;
    end.transaction_status = status;
    end.floor = Floor{Term(1), Position(9)};
    leg->sink(end);
  }

  uint64_t number = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_statement_waits_for_an_owner, Fixture) {
  Send(StatementKind::kWrite);
  BOOST_TEST(legs.empty());
  SetOwner("other", 1);
  BOOST_REQUIRE(legs.size() == 1u);
  BOOST_TEST(legs[0]->address.port == 2);
  BOOST_TEST(legs[0]->got.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(without_an_owner_it_is_refused_as_not_run, Fixture) {
  Send(StatementKind::kWrite, Millis(60));
  io.run_for(kGiveUp);
  BOOST_REQUIRE(answers.size() == 1u);
  StatementEnd end = std::get<StatementEnd>(answers[0]);
  BOOST_TEST(end.outcome == static_cast<uint8_t>(StatementOutcome::kNotRun));
  BOOST_TEST(end.sqlstate == "57P03");
}

BOOST_FIXTURE_TEST_CASE(a_write_that_was_sent_is_never_sent_again, Fixture) {
  SetOwner("other", 1);
  Send(StatementKind::kWrite);
  legs[0]->sink(ChannelReset{false, "link lost"});
  SetOwner("self", 2);
  BOOST_TEST(legs.size() == 1u);
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST(!std::get<ChannelReset>(answers[0]).sent_nothing);
}

BOOST_FIXTURE_TEST_CASE(a_write_that_did_not_run_follows_the_owner, Fixture) {
  SetOwner("other", 1);
  Send(StatementKind::kWrite);
  legs[0]->sink(ChannelReset{true, "not the owner"});
  SetOwner("self", 2);
  BOOST_REQUIRE(legs.size() == 2u);
  BOOST_TEST(legs[1]->got.size() == 1u);
  BOOST_TEST(answers.empty());
}

BOOST_FIXTURE_TEST_CASE(an_unanswered_read_follows_the_owner, Fixture) {
  SetOwner("other", 1);
  Send(StatementKind::kRead);
  legs[0]->sink(ChannelReset{false, "link lost"});
  SetOwner("self", 2);
  BOOST_REQUIRE(legs.size() == 2u);
  BOOST_TEST(legs[1]->got.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(a_read_partly_answered_is_not_sent_again, Fixture) {
  SetOwner("other", 1);
  Send(StatementKind::kRead);
  legs[0]->sink(AnswerData{1, "D"});
  legs[0]->sink(ChannelReset{false, "link lost"});
  SetOwner("self", 2);
  BOOST_TEST(legs.size() == 1u);
  BOOST_REQUIRE(answers.size() == 2u);
  BOOST_TEST(std::holds_alternative<ChannelReset>(answers[1]));
}

BOOST_FIXTURE_TEST_CASE(an_idle_route_moves_with_its_floor, Fixture) {
  SetOwner("other", 1);
  Send(StatementKind::kWrite);
  End(legs[0]);
  SetOwner("self", 2);
  BOOST_TEST(std::holds_alternative<CloseChannel>(legs[0]->got.back()));
  Send(StatementKind::kRead);
  BOOST_REQUIRE(legs.size() == 2u);
  BOOST_REQUIRE(legs[1]->open.floor.has_value());
  BOOST_TEST(legs[1]->open.floor->position.value() == 9u);
}

BOOST_FIXTURE_TEST_CASE(a_lost_transaction_is_told_to_the_caller, Fixture) {
  SetOwner("other", 1);
  Send(StatementKind::kBegin);
  End(legs[0], 'T');
  legs[0]->sink(ChannelReset{false, "link lost"});
  BOOST_REQUIRE(answers.size() == 2u);
  BOOST_TEST(std::holds_alternative<ChannelReset>(answers[1]));
}

BOOST_FIXTURE_TEST_CASE(a_late_answer_of_an_old_leg_is_dropped, Fixture) {
  SetOwner("other", 1);
  Send(StatementKind::kRead);
  legs[0]->sink(ChannelReset{false, "link lost"});
  SetOwner("self", 2);
  legs[0]->sink(AnswerData{1, "late"});
  BOOST_TEST(answers.empty());
}

}  // namespace cardamomchute
