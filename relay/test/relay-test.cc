#include "cardamomchute/relay/relay.h"

#include <unistd.h>

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "cardamomchute/platform/line_protocol.h"
#include "cardamomchute/telemetry/metrics.h"
#include "line_group.h"
#include "scarce_descriptors.h"

namespace cardamomchute {
namespace {

using boost::asio::ip::tcp;

/// Far more than a relay without callers runs in a fifth of a second.
constexpr size_t kManyHandlers = 1000;

struct LoneRelay {
  LoneRelay() {
    uint16_t port = static_cast<uint16_t>(15000 + ::getpid() % 8000);
    RelayParams params;
    params.io = &io;
    params.vm = VmId("relay-a");
    params.callers = Address{"127.0.60.10", port};
    params.peers = Address{"127.0.60.11", port};
    params.caller_protocol = LineCallerProtocol();
    params.endpoint_protocol = LineEndpointProtocol();
    params.metrics = &metrics;
    params.report = [](const GroupId&, const EndpointId&, EndpointProblem) {};
    callers = params.callers;
    peers = params.peers;
    relay = std::make_shared<Relay>(std::move(params));
    BOOST_REQUIRE(relay->Start());
  }
  ~LoneRelay() { relay->Stop(); }

  void RunUntil(const std::function<bool()>& done) {
    Time limit = Now() + Seconds(20);
    while (!done() && Now() < limit)
      io.run_one_for(std::chrono::milliseconds(10));
  }

  /// Has the relay know `record`, and itself as the only relay.
  void Know(const EndpointRecord& record) {
    DirectoryDelta delta;
    delta.endpoints.push_back(record);
    RelayRecord self;
    self.vm = VmId("relay-a");
    self.address = peers;
    self.started_ms = 1;
    delta.relays.push_back(self);
    relay->OnDirectory(delta);
  }
  /// Gives the relay a layout of one group.
  void Name(const std::string& group, uint32_t connections) {
    Layout layout;
    layout.version = 1;
    layout.groups[GroupId(group)].connections = connections;
    relay->OnLayout(std::make_shared<const Layout>(layout));
  }

  /// Connects without being accepted yet.
  std::unique_ptr<tcp::socket> Connect(const Address& address) {
    std::unique_ptr<tcp::socket> socket = std::make_unique<tcp::socket>(io);
    socket->connect(tcp::endpoint(boost::asio::ip::make_address(address.host),
                                  address.port));
    return socket;
  }

  boost::asio::io_context io;
  Metrics metrics;
  Address callers;
  Address peers;
  std::shared_ptr<Relay> relay;
};

BOOST_AUTO_TEST_SUITE(relay)

BOOST_AUTO_TEST_CASE(a_relay_without_free_descriptors_does_not_spin) {
  LoneRelay lone;
  std::unique_ptr<tcp::socket> caller = lone.Connect(lone.callers);
  std::unique_ptr<tcp::socket> peer = lone.Connect(lone.peers);
  {
    ScarceDescriptors scarce;
    BOOST_TEST(lone.io.run_for(std::chrono::milliseconds(200)) < kManyHandlers);
  }
  // Both are served once descriptors are free again.
  std::string request = "CONNECT nobody x\r\n";
  boost::asio::write(*caller, boost::asio::buffer(request));
  size_t answered = 0;
  char answer[64];
  caller->async_read_some(
      boost::asio::buffer(answer),
      [&](boost::system::error_code, size_t count) { answered = count; });
  lone.RunUntil([&] { return answered > 0; });
  BOOST_TEST(answered > 0u);
}

/// Another writer may claim so many.
constexpr uint32_t kManySlots = 500;

/// Guards against one heartbeat that takes every relay over its memory: it
/// names a group of no layout and claims many slots, and each relay opened a
/// connection for each.
BOOST_AUTO_TEST_CASE(endpoints_of_groups_that_no_layout_names_are_not_held) {
  LoneRelay lone;
  LineGroup group(&lone.io, "g9", 1);
  EndpointRecord record = group.Record(0, "a", 1);
  record.slots = kManySlots;
  lone.Know(record);
  lone.Name("g1", 8);
  lone.io.run_for(std::chrono::milliseconds(300));
  BOOST_TEST(group.member(0).connections == 0u);
  // They are as soon as a layout names their group.
  lone.Name("g9", 8);
  lone.RunUntil([&] { return group.member(0).connections > 0; });
  BOOST_TEST(group.member(0).connections > 0u);
}

/// Guards against connections beyond what the layout allows, however many slots
/// an endpoint claims.
BOOST_AUTO_TEST_CASE(the_layout_bounds_the_connections_to_an_endpoint) {
  LoneRelay lone;
  LineGroup group(&lone.io, "g9", 1);
  constexpr uint32_t kAllowed = 8;
  lone.Name("g9", kAllowed);
  EndpointRecord record = group.Record(0, "a", 1);
  record.slots = kManySlots;
  lone.Know(record);
  lone.RunUntil([&] { return group.member(0).connections > 0; });
  lone.io.run_for(std::chrono::milliseconds(300));
  BOOST_TEST(group.member(0).connections > 0u);
  BOOST_TEST(group.member(0).connections <= kAllowed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
