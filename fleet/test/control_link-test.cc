#include "cardamomchute/fleet/control_link.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include "cardamomchute/policy/dial_backoff.h"

namespace cardamomchute {
namespace {

using boost::asio::ip::tcp;

/// A control member without the time to serve anybody: it accepts connections
/// and closes them.
struct OverloadedMember {
  explicit OverloadedMember(boost::asio::io_context* io)
      : acceptor(*io,
                 tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
    Accept();
  }
  void Accept() {
    acceptor.async_accept(
        [this](boost::system::error_code error, tcp::socket socket) {
          if (error) return;
          ++accepted;
          socket.close();
          Accept();
        });
  }

  tcp::acceptor acceptor;
  size_t accepted = 0;
};

BOOST_AUTO_TEST_SUITE(control_link)

BOOST_AUTO_TEST_CASE(a_relay_dials_members_that_fail_less_and_less_often) {
  boost::asio::io_context io;
  OverloadedMember member(&io);
  ControlLinkParams params;
  params.io = &io;
  params.vm = VmId("relay-a");
  params.peers = Address{"127.0.0.1", 1};
  Address address{"127.0.0.1", member.acceptor.local_endpoint().port()};
  params.seeds = [address] { return std::vector<Address>{address}; };
  std::shared_ptr<ControlLink> link =
      std::make_shared<ControlLink>(std::move(params));
  link->Start();
  auto run_for = [&io](Duration span) {
    Time until = Now() + span;
    while (Now() < until) io.run_one_for(std::chrono::milliseconds(10));
  };
  run_for(Seconds(2));
  size_t early = member.accepted;
  run_for(Seconds(2));
  size_t late = member.accepted - early;
  BOOST_TEST(early > kQuickDials);
  BOOST_TEST(late * 2 < early);
  link->Stop();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
