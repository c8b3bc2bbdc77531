#include "cardamomchute/relay/relay_mesh.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace cardamomchute {
namespace {

/// A VM that holds connections, and records what other relays ask of it.
struct Holder {
  Holder() {
    uint16_t port = static_cast<uint16_t>(15000 + ::getpid() % 8000);
    address = Address{"127.0.60.12", port};
    MeshHandlers handlers;
    handlers.on_run = [this](const RelayLink& from, const RunRequest&,
                             const RunDone&) {
      events.push_back({"run", from});
    };
    handlers.on_abandon = [this](const RelayLink& from, const AbandonRun&) {
      events.push_back({"abandon", from});
    };
    handlers.on_gone = [this](const RelayLink& from) {
      events.push_back({"gone", from});
    };
    mesh = std::make_shared<RelayMesh>(&io, VmId("holder"), handlers);
    BOOST_REQUIRE(mesh->Listen(address));
  }
  ~Holder() { mesh->Close(); }

  std::shared_ptr<RelayMesh> Relay() {
    return std::make_shared<RelayMesh>(&io, VmId("relay-a"), MeshHandlers());
  }

  bool RunUntilEvents(size_t count) {
    Time limit = Now() + Seconds(10);
    while (events.size() < count && Now() < limit)
      io.run_one_for(std::chrono::milliseconds(20));
    return events.size() >= count;
  }

  struct Event {
    std::string what;
    RelayLink from;
  };
  boost::asio::io_context io;
  Address address;
  std::shared_ptr<RelayMesh> mesh;
  std::vector<Event> events;
};

RunRequest FirstStatement() {
  RunRequest request;
  request.session = 1;
  request.run = 1;
  request.step = RunStep::kFirst;
  return request;
}

BOOST_AUTO_TEST_SUITE(relay_mesh)

/// Guards against mixing the transactions of a killed relay with those that it
/// begins after its restart, under the same numbers.
BOOST_AUTO_TEST_CASE(a_restarted_relay_arrives_on_another_link) {
  Holder holder;
  std::shared_ptr<RelayMesh> killed = holder.Relay();
  killed->Run(holder.address, FirstStatement(), false, [](const RunAnswer&) {});
  BOOST_REQUIRE(holder.RunUntilEvents(1));
  std::shared_ptr<RelayMesh> restarted = holder.Relay();
  restarted->Run(holder.address, FirstStatement(), false,
                 [](const RunAnswer&) {});
  BOOST_REQUIRE(holder.RunUntilEvents(3));
  const std::vector<Holder::Event>& events = holder.events;
  BOOST_TEST(events[1].what == "gone");
  BOOST_TEST((events[1].from == events[0].from));
  BOOST_TEST(events[2].what == "run");
  BOOST_TEST((events[2].from.relay == events[0].from.relay));
  BOOST_TEST((events[2].from != events[0].from));
  killed->Close();
  restarted->Close();
}

/// Guards against a transaction that opens after its caller has left: the
/// request waited for the link, and the abandon was dropped.
BOOST_AUTO_TEST_CASE(an_abandon_follows_a_request_that_waits_for_its_link) {
  Holder holder;
  std::shared_ptr<RelayMesh> relay = holder.Relay();
  relay->Run(holder.address, FirstStatement(), false, [](const RunAnswer&) {});
  relay->Abandon(holder.address, AbandonRun{1, 1, EndpointId()});
  BOOST_REQUIRE(holder.RunUntilEvents(2));
  BOOST_TEST(holder.events[0].what == "run");
  BOOST_TEST(holder.events[1].what == "abandon");
  relay->Close();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
