#include "cardamomchute/relay/relay.h"

#include <unistd.h>

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "cardamomchute/platform/line_protocol.h"
#include "cardamomchute/telemetry/metrics.h"
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
  Time limit = Now() + Seconds(20);
  while (answered == 0 && Now() < limit)
    lone.io.run_one_for(std::chrono::milliseconds(10));
  BOOST_TEST(answered > 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
