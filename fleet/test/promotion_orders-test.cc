/// Orders to promote that the platform carries out late, and what relays may
/// acknowledge meanwhile.
#include <boost/test/unit_test.hpp>
#include <vector>

#include "replacement_fixture.h"

namespace cardamomchute {
namespace {

BOOST_AUTO_TEST_SUITE(promotion_orders)

/// A platform that leaves some orders unanswered and carries them out late, if
/// their fence token is not lower than one that it has seen.
class LatePlatform {
 public:
  explicit LatePlatform(ReplacementFixture* s) : s_(s) {
    s->cluster.on_promote = [this](const PromoteRequest& order,
                                   std::function<void(PromoteOutcome)> done) {
      if (on_order) on_order();
      if (unanswered > 0) {
        --unanswered;
        late_.push_back(order);
        return done(PromoteOutcome::kUnknown);
      }
      done(CarryOut(order) ? PromoteOutcome::kAccepted
                           : PromoteOutcome::kRefused);
    };
  }

  /// Carries out the first order that it left unanswered.
  void CarryOutLate() { CarryOut(late_.front()); }

  int unanswered = 0;
  std::function<void()> on_order;

 private:
  bool CarryOut(const PromoteRequest& order) {
    if (order.fence_token < seen_) return false;
    seen_ = order.fence_token;
    if (Primary() != order.endpoint) s_->group.Promote(order.endpoint);
    return true;
  }
  EndpointId Primary() const {
    for (size_t i = 0; i < s_->group.size(); ++i) {
      const LineMember& member = s_->group.member(i);
      if (member.is_primary) return member.id;
    }
    return EndpointId();
  }

  ReplacementFixture* s_;
  uint64_t seen_ = 0;
  std::vector<PromoteRequest> late_;
};

LineMember& MemberOf(ReplacementFixture* s, const EndpointId& id) {
  size_t i = 0;
  while (s->group.member(i).id != id) ++i;
  return s->group.member(i);
}

/// Announces to the control leader that `joined` is there and `gone` is not.
void Exchange(ReplacementFixture* s, const EndpointRecord& joined,
              const std::string& gone) {
  BOOST_REQUIRE(s->cluster.RunUntil([&] {
    std::optional<size_t> leader = s->cluster.Leader();
    return leader && s->cluster.At(*leader)->Announce(joined) &&
           s->cluster.At(*leader)->Leave({EndpointId(gone), kFirstStartMs});
  }));
}

/// Commits at the group's primary as a caller of a relay would. Returns whether
/// the relay passes on an acknowledgement.
bool CommitUnderLease(ReplacementFixture* s, const std::string& data) {
  s->listener->RenewLease();
  for (size_t i = 0; i < s->group.size(); ++i) {
    const LineMember& member = s->group.member(i);
    if (member.is_primary && s->listener->HasLease(member.id.value()))
      return s->group.Commit("k", data);
  }
  return false;
}

BOOST_AUTO_TEST_CASE(
    a_primary_that_came_back_loses_nothing_to_an_outstanding_order) {
  ReplacementFixture s(4);
  LatePlatform platform(&s);
  platform.unanswered = 1;
  s.group.member(3).cut_off = true;
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.group.Kill(0);
  s.group.member(0).is_primary = false;
  s.Complain(EndpointProblem::kRefused);
  BOOST_REQUIRE(
      s.cluster.RunUntil([&] { return s.cluster.orders.size() == 1; }));
  platform.unanswered = 1'000;
  MemberOf(&s, s.cluster.orders[0].endpoint).cut_off = true;
  // The first replacement has been given up.
  s.cluster.RunUntil([] { return false; }, Seconds(7));
  // The former primary's log at a new id.
  s.group.member(3).is_primary = true;
  s.group.member(3).cut_off = false;
  Exchange(&s, s.group.Record(3, "a", 1), "g1-0");
  platform.unanswered = 0;
  bool acknowledged = false;
  s.cluster.RunUntil(
      [&] {
        acknowledged = acknowledged || CommitUnderLease(&s, "kept");
        return acknowledged;
      },
      Seconds(8));
  platform.CarryOutLate();
  BOOST_TEST(acknowledged);
  BOOST_TEST(s.group.CountOf("kept") >= 1u);
}

BOOST_AUTO_TEST_CASE(an_order_that_was_sent_twice_takes_effect_once) {
  ReplacementFixture s;
  LatePlatform platform(&s);
  platform.unanswered = 1;
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.group.Kill(0);
  s.group.member(0).is_primary = false;
  s.Complain(EndpointProblem::kRefused);
  BOOST_REQUIRE(
      s.cluster.RunUntil([&] { return s.LeadIs("g1-1") || s.LeadIs("g1-2"); }));
  EndpointId second = s.cluster.orders[0].endpoint;
  BOOST_REQUIRE(s.LeadIs(second.value()));
  platform.unanswered = 1;
  EndpointRecord leaving =
      s.group.Record(second == EndpointId("g1-1") ? 1 : 2, "a", 50);
  leaving.leaving = true;
  size_t sent = s.cluster.orders.size();
  // The dead one has left for good, so that nobody waits for it.
  Exchange(&s, leaving, "g1-0");
  BOOST_REQUIRE(
      s.cluster.RunUntil([&] { return s.cluster.orders.size() > sent; }));
  platform.CarryOutLate();
  BOOST_TEST(!MemberOf(&s, second).is_primary);
}

/// The control members cannot reach the primary, the relay can, and a replica
/// that nobody has announced yet receives from it.
BOOST_AUTO_TEST_CASE(nothing_is_acknowledged_once_an_order_is_sent) {
  ReplacementFixture s(4);
  LatePlatform platform(&s);
  s.group.member(3).cut_off = true;
  BOOST_REQUIRE(
      s.cluster.RunUntil([&] { return CommitUnderLease(&s, "first"); }));
  s.group.member(0).silent = true;
  bool acknowledged = false;
  platform.on_order = [&] {
    s.group.member(3).cut_off = false;
    acknowledged = acknowledged || CommitUnderLease(&s, "late");
  };
  s.cluster.RunUntil(
      [&] {
        s.listener->RenewLease();
        return false;
      },
      Millis(500));
  s.Complain(EndpointProblem::kSilent);
  BOOST_REQUIRE(s.cluster.RunUntil([&] {
    s.listener->RenewLease();
    return s.LeadIs("g1-1") || s.LeadIs("g1-2");
  }));
  BOOST_TEST(s.group.CountOf("late") == (acknowledged ? 1u : 0u));
}

/// The replicas' pauses, by which a leader could tell, are gone.
BOOST_AUTO_TEST_CASE(a_new_control_leader_knows_of_an_outstanding_order) {
  ReplacementFixture s(4);
  LatePlatform platform(&s);
  platform.unanswered = 1'000;
  s.group.member(3).cut_off = true;
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.group.Kill(0);
  s.group.member(0).is_primary = false;
  s.Complain(EndpointProblem::kRefused);
  BOOST_REQUIRE(
      s.cluster.RunUntil([&] { return s.cluster.orders.size() == 1; }));
  s.cluster.Stop(*s.cluster.Leader());
  MemberOf(&s, s.cluster.orders[0].endpoint).cut_off = true;
  for (size_t i = 1; i < 3; ++i) s.group.member(i).paused_below = 0;
  s.group.member(3).is_primary = true;
  s.group.member(3).cut_off = false;
  Exchange(&s, s.group.Record(3, "a", 1), "g1-0");
  platform.unanswered = 0;
  bool acknowledged = false;
  s.cluster.RunUntil(
      [&] {
        acknowledged = acknowledged || CommitUnderLease(&s, "kept");
        return acknowledged;
      },
      Seconds(8));
  platform.CarryOutLate();
  BOOST_TEST(acknowledged);
  BOOST_TEST(s.group.CountOf("kept") >= 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
