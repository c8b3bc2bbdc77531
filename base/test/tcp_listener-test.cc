#include "cardamomchute/base/tcp_listener.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <vector>

#include "scarce_descriptors.h"

namespace cardamomchute {
namespace {

using boost::asio::ip::tcp;

struct Fixture {
  Fixture() { BOOST_REQUIRE(listener->Open(Address{"127.0.0.1", 0}, "x.y")); }
  ~Fixture() { listener->Close(); }

  void Start() {
    listener->Start(
        [this](tcp::socket socket) { accepted.push_back(std::move(socket)); });
  }
  void Connect() {
    callers.emplace_back(io);
    callers.back().connect(tcp::endpoint(
        boost::asio::ip::make_address("127.0.0.1"), listener->port()));
  }
  bool RunUntilAccepted(size_t count) {
    Time limit = Now() + Seconds(20);
    while (accepted.size() < count && Now() < limit)
      io.run_one_for(std::chrono::milliseconds(10));
    return accepted.size() == count;
  }

  boost::asio::io_context io;
  std::shared_ptr<TcpListener> listener = std::make_shared<TcpListener>(&io);
  std::vector<tcp::socket> callers;
  std::vector<tcp::socket> accepted;
};

BOOST_FIXTURE_TEST_SUITE(tcp_listener, Fixture)

BOOST_AUTO_TEST_CASE(a_lack_of_descriptors_delays_connections) {
  Start();
  Connect();
  {
    ScarceDescriptors scarce;
    // One attempt and its retries, 100 ms apart.
    BOOST_TEST(io.run_for(std::chrono::milliseconds(300)) < 20u);
    BOOST_TEST(accepted.empty());
  }
  BOOST_TEST(RunUntilAccepted(1));
}

BOOST_AUTO_TEST_CASE(a_planned_stop_drops_nobody_who_has_connected) {
  Connect();
  Connect();
  Start();
  listener->Drain();
  BOOST_TEST(!listener->is_open());
  BOOST_TEST(RunUntilAccepted(2));
}

BOOST_AUTO_TEST_CASE(a_handler_may_close_the_listener) {
  Connect();
  listener->Start([this](tcp::socket socket) {
    listener->Close();
    accepted.push_back(std::move(socket));
  });
  BOOST_TEST(RunUntilAccepted(1));
  BOOST_TEST(!listener->is_open());
}

BOOST_AUTO_TEST_CASE(an_address_in_use_names_the_setting) {
  TcpListener other(&io);
  Status opened = other.Open(Address{"127.0.0.1", listener->port()}, "x.y");
  BOOST_REQUIRE(!opened);
  BOOST_TEST(ToString(opened.error()).find("set x.y to a free address") !=
             std::string::npos);
  BOOST_TEST(!TcpListener(&io).Open(Address{"no address", 1}, "x.y"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
