/// What says that an endpoint has ended or was replaced, late, odd or by
/// another writer, as it arrives at a control member.
#include <boost/test/unit_test.hpp>

#include "cardamomchute/http/http_server.h"
#include "cardamomchute/platform/routes.h"
#include "replacement_fixture.h"

namespace cardamomchute {
namespace {

constexpr uint32_t kOk = 200;
constexpr uint32_t kBadRequest = 400;
constexpr uint32_t kUnavailable = 503;
constexpr uint64_t kRestartMs = kFirstStartMs + 1;

/// Calls the route of `path` at member `steward` as an endpoint does. Returns
/// the status.
uint32_t Post(FleetControllerCluster* cluster, size_t steward,
              const EndpointId& id, const std::string& path,
              const std::string& body) {
  std::vector<HttpRoute> routes =
      ControlRoutes(cluster->At(steward), cluster->AddressOf(steward).port);
  std::string::size_type at = path.find(id.value());
  std::string pattern = path;
  pattern.replace(at, id.value().size(), "{id}");
  for (const HttpRoute& route : routes) {
    if (route.method != "POST" || route.path != pattern) continue;
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.captures["id"] = id.value();
    request.body = body;
    uint32_t status = 0;
    route.handle(request, [&status](const HttpResponse& response) {
      status = response.status;
    });
    return status;
  }
  BOOST_FAIL("no route " + pattern);
  return 0;
}

/// Waits until the relay knows the endpoint, so that it may be looked up.
void WaitForEndpoint(ReplacementFixture* s, const EndpointId& id) {
  BOOST_REQUIRE(s->cluster.RunUntil(
      [&] { return s->listener->directory.endpoints.contains(id); }));
}

/// A group whose replica "g1-1" has left, as announced, and started again under
/// its id.
struct Restarted : ReplacementFixture {
  Restarted() {
    WaitForEndpoint(this, id);
    EndpointRecord leaving = group.Record(1, "a", ++sequence);
    leaving.leaving = true;
    BOOST_REQUIRE(cluster.RunUntil([&] { return Announce(leaving); }));
    BOOST_REQUIRE(cluster.RunUntil([&] {
      return Post(&cluster, 1, id, LeavePath(id), LeaveText(kFirstStartMs)) ==
             kOk;
    }));
    BOOST_REQUIRE(cluster.RunUntil([&] { return Known().gone; }));
    restart = group.Record(1, "a", 1);
    restart.started_ms = kRestartMs;
    BOOST_REQUIRE(cluster.RunUntil([&] { return Announce(restart); }));
    BOOST_REQUIRE(cluster.RunUntil([&] { return !Known().gone; }));
  }

  /// All members learn of it at once, as if it had called each.
  bool Announce(const EndpointRecord& record) {
    bool all = true;
    for (size_t i = 0; i < cluster.size(); ++i)
      all = cluster.At(i)->Announce(record) && all;
    return all;
  }
  static std::string LeaveText(uint64_t born) {
    return "{\"service\":\"g1\",\"seq\":100,\"born\":" + std::to_string(born) +
           "}";
  }
  /// Sends a leave to a member that is in contact with the leader.
  uint32_t SendLeave(const std::string& body) {
    BOOST_REQUIRE(
        cluster.RunUntil([&] { return cluster.At(0)->has_leader_contact(); }));
    return Post(&cluster, 0, id, LeavePath(id), body);
  }
  /// Waits until the relay knows what has been announced before.
  void WaitForRelay() {
    ++markers;
    EndpointRecord marker = group.Record(1, "a", 1);
    marker.id = EndpointId("marker-" + std::to_string(markers));
    marker.address = Address{"10.0.0.1", static_cast<uint16_t>(markers)};
    BOOST_REQUIRE(cluster.At(0)->Announce(marker));
    BOOST_REQUIRE(cluster.RunUntil(
        [&] { return listener->directory.endpoints.contains(marker.id); }));
  }
  const EndpointRecord& Known() { return listener->directory.endpoints.at(id); }

  const EndpointId id{"g1-1"};
  EndpointRecord restart;  ///< the first announcement of its new process
  int markers = 0;
};

BOOST_AUTO_TEST_SUITE(departures)

/// Guards against the loss of acknowledged writes: the late leave of an
/// endpoint's earlier process hid the new one for good.
BOOST_AUTO_TEST_CASE(a_late_leave_of_an_earlier_process_hides_no_endpoint) {
  Restarted s;
  BOOST_TEST(s.SendLeave(Restarted::LeaveText(kFirstStartMs)) == kOk);
  s.WaitForRelay();
  BOOST_TEST(!s.Known().gone);
  BOOST_TEST(s.Known().started_ms == kRestartMs);
}

/// Guards against the same by a leave that does not say which process ends:
/// nothing says that the one that is known here does.
BOOST_AUTO_TEST_CASE(a_leave_without_a_start_hides_no_endpoint_that_stays) {
  Restarted s;
  BOOST_TEST(s.SendLeave("") == kUnavailable);
  s.WaitForRelay();
  BOOST_TEST(!s.Known().gone);
  // Nor one that has only just said that it leaves.
  s.restart.sequence = 2;
  s.restart.leaving = true;
  BOOST_REQUIRE(s.Announce(s.restart));
  BOOST_TEST(s.SendLeave("") == kUnavailable);
  s.WaitForRelay();
  BOOST_TEST(!s.Known().gone);
}

BOOST_AUTO_TEST_CASE(a_leave_without_a_start_ends_an_endpoint_that_drained) {
  Restarted s;
  s.restart.sequence = 2;
  s.restart.leaving = true;
  BOOST_REQUIRE(s.Announce(s.restart));
  BOOST_TEST(s.cluster.RunUntil([&] { return s.SendLeave("") == kOk; }));
  BOOST_TEST(s.cluster.RunUntil([&] { return s.Known().gone; }));
  // The answer may have been lost.
  BOOST_TEST(s.SendLeave("") == kOk);
}

/// Guards against the same by what another writer sends.
BOOST_AUTO_TEST_CASE(an_odd_leave_hides_no_endpoint) {
  Restarted s;
  for (const std::string odd :
       {"{}", "[]", "7", "\xff\xfe", "{\"born\":2", "{\"born\":\"2\"}",
        "{\"born\":2.0}", "{\"born\":-2}", "{\"born\":null}",
        "{\"service\":\"g1\",\"seq\":2}", "{\"born\":18446744073709551615}"}) {
    BOOST_TEST_CONTEXT(odd) { BOOST_TEST(s.SendLeave(odd) == kBadRequest); }
  }
  // A start that was never announced.
  BOOST_TEST(s.SendLeave(Restarted::LeaveText(kRestartMs + 1)) == kUnavailable);
  s.WaitForRelay();
  BOOST_TEST(!s.Known().gone);
  BOOST_TEST(s.SendLeave(Restarted::LeaveText(kRestartMs)) == kOk);
  BOOST_TEST(s.cluster.RunUntil([&] { return s.Known().gone; }));
}

/// Guards against the same by a heartbeat of another writer, which lacks a
/// field or has it of another type, and has the address of a replica.
BOOST_AUTO_TEST_CASE(an_odd_heartbeat_hides_no_endpoint) {
  ReplacementFixture s;
  WaitForEndpoint(&s, EndpointId("g1-1"));
  const EndpointId other("i-other");
  for (const std::string& odd :
       IncompleteAnnouncementTexts(s.group.member(1).address)) {
    BOOST_TEST_CONTEXT(odd) {
      BOOST_TEST(Post(&s.cluster, 0, other, AnnouncementPath(other), odd) ==
                 kBadRequest);
    }
  }
  BOOST_TEST(s.AnnounceAll());
  s.cluster.RunUntil([] { return false; }, Millis(300));
  BOOST_TEST(!s.listener->directory.endpoints.at(EndpointId("g1-1")).gone);
  BOOST_TEST(!s.listener->directory.endpoints.contains(other));
}

/// Guards against an endpoint that is hidden for good by another writer's entry
/// that lacks nothing: a later start at the replica's address.
BOOST_AUTO_TEST_CASE(an_entry_at_its_address_hides_no_endpoint_that_goes_on) {
  ReplacementFixture s;
  WaitForEndpoint(&s, EndpointId("g1-1"));
  EndpointRecord other = s.group.Record(1, "a", 1);
  other.id = EndpointId("i-other");
  other.started_ms = kRestartMs;
  BOOST_REQUIRE(
      s.cluster.RunUntil([&] { return s.cluster.At(0)->Announce(other); }));
  BOOST_REQUIRE(s.cluster.RunUntil(
      [&] { return s.listener->directory.endpoints.contains(other.id); }));
  BOOST_TEST(!s.listener->directory.endpoints.at(EndpointId("g1-1")).gone);
  // Its writer leaves.
  BOOST_TEST(s.cluster.RunUntil([&] {
    return Post(&s.cluster, 0, other.id, LeavePath(other.id),
                Restarted::LeaveText(kRestartMs)) == kOk;
  }));
  BOOST_TEST(s.AnnounceAll());
  s.cluster.RunUntil([] { return false; }, Millis(300));
  BOOST_TEST(!s.listener->directory.endpoints.at(EndpointId("g1-1")).gone);
}

/// Guards against the same by a leave that names the endpoint's own process: it
/// is not known how it came about, and the endpoint goes on.
BOOST_AUTO_TEST_CASE(an_endpoint_that_goes_on_after_a_leave_comes_back) {
  ReplacementFixture s;
  const EndpointId id("g1-1");
  WaitForEndpoint(&s, id);
  BOOST_REQUIRE(s.cluster.RunUntil([&] {
    return Post(&s.cluster, 1, id, LeavePath(id),
                Restarted::LeaveText(kFirstStartMs)) == kOk;
  }));
  BOOST_REQUIRE(s.cluster.RunUntil(
      [&] { return s.listener->directory.endpoints.at(id).gone; }));
  Time next = Now();
  BOOST_TEST(s.cluster.RunUntil([&] {
    if (Now() >= next) {
      s.AnnounceAll();
      next = Now() + Millis(500);
    }
    return !s.listener->directory.endpoints.at(id).gone;
  }));
  // Who joins learns the same.
  Listener later(&s.cluster, "relay-b", 2);
  BOOST_TEST(s.cluster.RunUntil(
      [&] { return MembersOf(later.directory, GroupId("g1")).size() == 3; }));
}

/// Guards against the same by an entry under the endpoint's id, with its start
/// and a number ahead of its own: its announcements then all look late.
BOOST_AUTO_TEST_CASE(an_entry_with_a_higher_number_hides_no_endpoint_for_good) {
  ReplacementFixture s;
  const EndpointId id("g1-1");
  WaitForEndpoint(&s, id);
  const Address address = s.group.member(1).address;
  EndpointRecord other = s.group.Record(1, "a", 1'000'000);
  other.address = Address{"10.0.0.1", 9};
  BOOST_REQUIRE(
      s.cluster.RunUntil([&] { return s.cluster.At(0)->Announce(other); }));
  BOOST_REQUIRE(s.cluster.RunUntil([&] {
    return s.listener->directory.endpoints.at(id).address == other.address;
  }));
  Time next = Now();
  BOOST_TEST(s.cluster.RunUntil([&] {
    if (Now() >= next) {
      s.AnnounceAll();
      next = Now() + Millis(500);
    }
    return s.listener->directory.endpoints.at(id).address == address;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
