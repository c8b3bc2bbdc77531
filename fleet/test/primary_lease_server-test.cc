#include "cardamomchute/fleet/primary_lease_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <thread>
#include <vector>

#include "replacement_fixture.h"

namespace cardamomchute {
namespace {

const GroupId kGroup("g1");
const LeasedPrimary kPrimary{EndpointId("g1-0"), Term(4)};

/// Control members that pass messages to each other and to relays in memory.
struct Members {
  explicit Members(size_t count) : terms(count, QuorumTerm(1)) {
    for (size_t i = 0; i < count; ++i)
      servers.push_back(std::make_unique<PrimaryLeaseServer>(Params(i)));
    servers[0]->OnLeadershipChange(true);
  }

  PrimaryLeaseServerParams Params(size_t i) {
    PrimaryLeaseServerParams params;
    params.self = Name(i);
    params.leads = [this, i] { return leader == i; };
    params.term = [this, i] { return terms[i]; };
    params.grantable = [this, i]() -> std::optional<GrantableLeases> {
      if (leader != i) return std::nullopt;
      GrantableLeases leases{LeaseEnd(Now()), {}};
      if (certain) leases.primaries[kGroup] = kPrimary;
      return leases;
    };
    params.send_to_leader = [this, i](const FleetMessage& message) {
      if (leader == i) return false;
      Post(i, leader, message);
      return true;
    };
    params.send_to_member = [this, i](const VmId& vm,
                                      const FleetMessage& message) {
      for (size_t to = 0; to < servers.size(); ++to) {
        if (Name(to) == vm) Post(i, to, message);
      }
    };
    params.members = [this, i] {
      std::vector<VmId> others;
      for (size_t m = 0; m < servers.size(); ++m) {
        if (m != i) others.push_back(Name(m));
      }
      return others;
    };
    return params;
  }
  static VmId Name(size_t i) { return VmId("member-" + std::to_string(i)); }

  void Post(size_t from, size_t to, const FleetMessage& message) {
    if (to == silent) return;
    queue.push_back([this, from, to, message] {
      PrimaryLeaseServer& server = *servers[to];
      if (const auto* request = std::get_if<GrantableRequest>(&message)) {
        std::optional<GrantableAnswer> answer =
            server.OnGrantableRequest(*request);
        if (answer) Post(to, from, *answer);
      }
      if (const auto* answer = std::get_if<GrantableAnswer>(&message)) {
        if (hold_answers)
          held_answers.push_back(*answer);
        else
          server.OnGrantableAnswer(*answer);
      }
      if (const auto* revocation = std::get_if<LeaseRevocation>(&message))
        server.OnRevocation(*revocation);
      if (const auto* revoked = std::get_if<LeaseRevoked>(&message))
        server.OnRevoked(nullptr, *revoked);
    });
  }
  bool RunUntil(const std::function<bool()>& done,
                Duration limit = Seconds(10)) {
    for (Time until = Now() + limit; !done() && Now() < until;) {
      while (!queue.empty()) {
        std::function<void()> run = std::move(queue.front());
        queue.pop_front();
        run();
      }
      for (size_t i = 0; i < servers.size(); ++i) {
        if (i != silent) servers[i]->OnTick(Now());
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return done();
  }
  void Run(Duration span) {
    RunUntil([] { return false; }, span);
  }
  void Elect(size_t i) {
    servers[leader]->OnLeadershipChange(false);
    leader = i;
    for (QuorumTerm& term : terms) term = term.Next();
    servers[i]->OnLeadershipChange(true);
  }

  std::vector<std::unique_ptr<PrimaryLeaseServer>> servers;
  std::vector<QuorumTerm> terms;
  size_t leader = 0;
  size_t silent = SIZE_MAX;
  bool certain = true;  ///< the leader knows the primary
  bool hold_answers = false;
  std::vector<GrantableAnswer> held_answers;
  std::deque<std::function<void()>> queue;
};

/// A relay behind one of the members.
struct LeasedRelay {
  LeasedRelay(Members* members, size_t member)
      : members(members),
        member(member),
        link(std::make_unique<Link>(Link::Socket(io))) {}

  void Ask() {
    PrimaryLeaseRequest request{++number, {kGroup}, takes_revocations};
    asked[number] = Now();
    members->servers[member]->OnRequest(
        link.get(), request,
        [this](const FleetMessage& message) { Read(message); });
  }
  void Read(const FleetMessage& message) {
    if (const auto* grant = std::get_if<PrimaryLeaseGrant>(&message)) {
      terms = grant->terms;
      if (!grant->primaries.contains(kGroup)) return;
      until = std::max(until, asked[grant->number] + grant->valid);
    }
    const auto* revocation = std::get_if<LeaseRevocation>(&message);
    if (revocation == nullptr) return;
    ++revocations;
    if (!confirms) return;
    until = Time();
    LeaseRevoked revoked{kGroup, revocation->number, VmId("relay")};
    members->queue.push_back([this, revoked] {
      members->servers[member]->OnRevoked(link.get(), revoked);
    });
  }
  bool Leased() const { return Now() < until; }
  /// Asks until it has a lease.
  bool GetLease() {
    return members->RunUntil([this] {
      if (!Leased()) Ask();
      return Leased();
    });
  }

  boost::asio::io_context io;
  Members* members;
  size_t member;
  std::unique_ptr<Link> link;
  bool takes_revocations = true;
  bool confirms = true;
  uint64_t number = 0;
  std::map<uint64_t, Time> asked;
  Time until;
  std::map<GroupId, Term> terms;
  size_t revocations = 0;
};

/// Members that may hold no leases of earlier processes or leaders.
struct SettledMembers : Members {
  explicit SettledMembers(size_t count) : Members(count) { Run(kPrimaryLease); }
};

/// Revokes the group's leases and returns when that was reported; the replaced
/// primary is granted to nobody meanwhile.
struct Revoking {
  explicit Revoking(Members* members) : begun(Now()) {
    members->certain = false;
    members->servers[members->leader]->Revoke(kGroup,
                                              [this] { done_at = Now(); });
  }
  bool done() const { return done_at.has_value(); }

  Time begun;
  std::optional<Time> done_at;
};

BOOST_AUTO_TEST_SUITE(primary_lease_server)

/// Runs until another primary than the first is in use. Returns whether the
/// relay never had a lease on the first one then.
bool NoLeaseOnFormer(ReplacementFixture* s) {
  bool overlap = false;
  bool replaced = s->cluster.RunUntil([&] {
    bool other = s->LeadIs("g1-1") || s->LeadIs("g1-2");
    overlap = overlap || (other && s->listener->HasLease("g1-0"));
    s->listener->RenewLease();
    return other &&
           (s->listener->HasLease("g1-1") || s->listener->HasLease("g1-2"));
  });
  return replaced && !overlap;
}

BOOST_AUTO_TEST_CASE(no_relay_may_use_a_replaced_primary_that_goes_on) {
  ReplacementFixture s;
  s.group.SetReplacedGoesOn();
  auto leased = [&] {
    s.listener->RenewLease();
    return s.listener->HasLease("g1-0");
  };
  BOOST_REQUIRE(s.cluster.RunUntil(leased));
  // The control members cannot reach it, the relay may.
  s.group.member(0).silent = true;
  s.cluster.RunUntil(
      [&] {
        s.listener->RenewLease();
        return false;
      },
      Millis(500));
  s.Complain(EndpointProblem::kSilent);
  BOOST_TEST(NoLeaseOnFormer(&s));
  BOOST_TEST(s.group.member(0).is_primary);
}

BOOST_AUTO_TEST_CASE(
    leases_are_granted_by_all_members_until_they_lose_contact) {
  ReplacementFixture s;
  size_t follower = (*s.cluster.Leader() + 1) % 3;
  Listener relay(&s.cluster, "relay-b", follower);
  auto leased = [&] {
    relay.RenewLease();
    return relay.HasLease("g1-0");
  };
  BOOST_REQUIRE(s.cluster.RunUntil(leased));
  for (size_t i = 0; i < 3; ++i) {
    if (i != follower) s.cluster.Stop(i);
  }
  Time lost = Now();
  BOOST_TEST(s.cluster.RunUntil([&] { return !leased(); }));
  s.cluster.RunUntil([&] { return leased(); }, Seconds(1));
  BOOST_TEST(!relay.HasLease("g1-0"));
  BOOST_TEST((relay.lease.until < lost + kPrimaryLease + Millis(1)));
}

/// Checks follow each other without a pause, and each waits for the replicas. A
/// control leader that has confirmed a primary need not reach a replica again:
/// only that leader could have replaced it.
BOOST_AUTO_TEST_CASE(checks_that_change_nothing_take_no_lease_away) {
  ReplacementFixture s;
  // Whether a request of the last 600 ms got a lease.
  auto leased = [&] {
    s.listener->RenewLease();
    Duration left = s.listener->lease.until - Now();
    return s.listener->HasLease("g1-0") && left > kPrimaryLease - Millis(600);
  };
  BOOST_REQUIRE(s.cluster.RunUntil(leased));
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.group.member(1).silent = true;
  s.group.member(2).silent = true;
  Time complained;
  auto lapsed = [&] {
    if (Now() - complained > Millis(100)) {
      complained = Now();
      s.Complain(EndpointProblem::kSilent);
    }
    return !leased();
  };
  BOOST_TEST(!s.cluster.RunUntil(lapsed, Seconds(4)));
}

BOOST_AUTO_TEST_CASE(a_failover_waits_for_no_lease_that_was_given_back) {
  SettledMembers members(3);
  LeasedRelay of_follower(&members, 1);
  LeasedRelay of_leader(&members, 0);
  BOOST_REQUIRE(of_follower.GetLease());
  BOOST_REQUIRE(of_leader.GetLease());
  BOOST_TEST((of_follower.terms[kGroup] == kPrimary.term));
  Time end = members.servers[0]->EndOf(kGroup);
  Revoking revoking(&members);
  BOOST_REQUIRE(members.RunUntil([&] { return revoking.done(); }));
  BOOST_TEST((*revoking.done_at < end));
  BOOST_TEST((members.servers[0]->EndOf(kGroup) <= *revoking.done_at));
  BOOST_TEST(!of_follower.Leased());
  BOOST_TEST(!of_leader.Leased());
}

BOOST_AUTO_TEST_CASE(a_relay_that_does_not_confirm_is_waited_for) {
  SettledMembers members(3);
  LeasedRelay frozen(&members, 1);
  frozen.confirms = false;
  BOOST_REQUIRE(frozen.GetLease());
  Revoking revoking(&members);
  BOOST_REQUIRE(members.RunUntil([&] { return revoking.done(); }));
  BOOST_TEST(frozen.revocations > 0u);
  BOOST_TEST((*revoking.done_at >= frozen.until));
}

BOOST_AUTO_TEST_CASE(a_relay_of_an_older_release_is_sent_no_revocation) {
  SettledMembers members(3);
  LeasedRelay older(&members, 0);
  older.takes_revocations = false;
  BOOST_REQUIRE(older.GetLease());
  Revoking revoking(&members);
  BOOST_REQUIRE(members.RunUntil([&] { return revoking.done(); }));
  BOOST_TEST(older.revocations == 0u);
  BOOST_TEST((*revoking.done_at >= older.until));
}

BOOST_AUTO_TEST_CASE(a_relay_whose_link_was_lost_is_waited_for) {
  SettledMembers members(3);
  LeasedRelay lost(&members, 1);
  BOOST_REQUIRE(lost.GetLease());
  members.servers[1]->OnLinkLost(lost.link.get());
  Revoking revoking(&members);
  BOOST_REQUIRE(members.RunUntil([&] { return revoking.done(); }));
  BOOST_TEST((*revoking.done_at >= lost.until));
}

BOOST_AUTO_TEST_CASE(a_member_that_does_not_confirm_is_waited_for) {
  SettledMembers members(3);
  LeasedRelay relay(&members, 1);
  BOOST_REQUIRE(relay.GetLease());
  members.silent = 1;
  Revoking revoking(&members);
  BOOST_REQUIRE(members.RunUntil([&] { return revoking.done(); }));
  BOOST_TEST((*revoking.done_at >= relay.until));
}

BOOST_AUTO_TEST_CASE(an_answer_from_before_a_revocation_grants_nothing) {
  SettledMembers members(3);
  LeasedRelay relay(&members, 1);
  members.Run(kLeaseRequestInterval);
  members.hold_answers = true;
  relay.Ask();
  BOOST_REQUIRE(
      members.RunUntil([&] { return !members.held_answers.empty(); }));
  Revoking revoking(&members);
  BOOST_REQUIRE(members.RunUntil([&] { return revoking.done(); }));
  members.servers[1]->OnGrantableAnswer(members.held_answers.back());
  relay.Ask();
  BOOST_TEST(!relay.Leased());
}

BOOST_AUTO_TEST_CASE(no_lease_is_granted_while_a_revocation_runs) {
  SettledMembers members(3);
  LeasedRelay frozen(&members, 1);
  LeasedRelay other(&members, 0);
  frozen.confirms = false;
  BOOST_REQUIRE(frozen.GetLease());
  Revoking revoking(&members);
  members.certain = true;  // the replacement was given up
  size_t joined = 0;
  members.servers[0]->Revoke(kGroup, [&joined] { ++joined; });
  bool leased = false;
  BOOST_REQUIRE(members.RunUntil([&] {
    if (!revoking.done()) other.Ask();
    leased = leased || other.Leased();
    return revoking.done();
  }));
  BOOST_TEST(!leased);
  BOOST_TEST(joined == 1u);
  BOOST_TEST(other.GetLease());
  BOOST_TEST(frozen.GetLease());
}

BOOST_AUTO_TEST_CASE(a_new_leader_takes_leases_back_from_all_members) {
  SettledMembers members(3);
  LeasedRelay relay(&members, 2);
  LeasedRelay of_former_leader(&members, 0);
  BOOST_REQUIRE(relay.GetLease());
  BOOST_REQUIRE(of_former_leader.GetLease());
  members.Elect(1);
  // The members introduce themselves meanwhile.
  members.Run(kLeaseRequestInterval * 2);
  Time end = members.servers[1]->EndOf(kGroup);
  Revoking revoking(&members);
  BOOST_REQUIRE(members.RunUntil([&] { return revoking.done(); }));
  BOOST_TEST((*revoking.done_at < end));
  BOOST_TEST(!relay.Leased());
  BOOST_TEST(!of_former_leader.Leased());
}

BOOST_AUTO_TEST_CASE(a_new_leader_waits_for_members_that_do_not_confirm) {
  SettledMembers members(3);
  LeasedRelay relay(&members, 2);
  BOOST_REQUIRE(relay.GetLease());
  members.silent = 0;
  members.Elect(1);
  Time end = members.servers[1]->EndOf(kGroup);
  Revoking revoking(&members);
  BOOST_REQUIRE(members.RunUntil([&] { return revoking.done(); }));
  BOOST_TEST((*revoking.done_at >= end));
}

BOOST_AUTO_TEST_CASE(a_member_confirms_only_to_the_leader_that_it_follows) {
  SettledMembers members(3);
  LeasedRelay relay(&members, 2);
  BOOST_REQUIRE(relay.GetLease());
  members.Elect(1);
  members.Run(kLeaseRequestInterval * 2);
  members.terms[2] = QuorumTerm(1);
  Revoking revoking(&members);
  members.Run(Millis(300));
  BOOST_TEST(!revoking.done());
  BOOST_TEST(relay.revocations == 0u);
  members.terms[2] = members.terms[1];
  BOOST_TEST(members.RunUntil([&] { return revoking.done(); }));
}

BOOST_AUTO_TEST_CASE(a_member_that_started_again_waits_for_what_it_granted) {
  SettledMembers members(3);
  LeasedRelay relay(&members, 1);
  BOOST_REQUIRE(relay.GetLease());
  members.servers[1] = std::make_unique<PrimaryLeaseServer>(members.Params(1));
  Revoking revoking(&members);
  BOOST_REQUIRE(members.RunUntil([&] { return revoking.done(); }));
  BOOST_TEST((*revoking.done_at >= relay.until));
}

BOOST_AUTO_TEST_CASE(a_revocation_ends_with_the_leadership) {
  SettledMembers members(3);
  LeasedRelay frozen(&members, 0);
  frozen.confirms = false;
  BOOST_REQUIRE(frozen.GetLease());
  Revoking revoking(&members);
  members.Elect(1);
  members.Run(kPrimaryLease + Millis(200));
  BOOST_TEST(!revoking.done());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
