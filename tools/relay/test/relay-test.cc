#include "relay.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "cardamomchute/support/listen.h"

namespace cardamomchute::relay {

using boost::asio::ip::tcp;

BOOST_AUTO_TEST_SUITE(relay)

BOOST_AUTO_TEST_CASE(PassesBytesAndTheEndBothWays) {
  constexpr size_t kBytes = 1000 * 1000;
  boost::asio::io_context io;
  Result<tcp::acceptor> target =
      support::Listen(io.get_executor(), {"127.0.0.1", 0});
  Result<tcp::acceptor> listen =
      support::Listen(io.get_executor(), {"127.0.0.1", 0});
  BOOST_REQUIRE(target);
  BOOST_REQUIRE(listen);
  tcp::endpoint front = listen.value().local_endpoint();
  Relay relay(std::move(listen.value()), target.value().local_endpoint());
  relay.Start();
  std::thread thread([&io] { io.run(); });

  boost::asio::io_context own;
  tcp::socket client(own);
  client.connect(front);
  std::thread writer([&client] {
    boost::asio::write(client, boost::asio::buffer(std::string(kBytes, 'a')));
    client.shutdown(tcp::socket::shutdown_send);
  });
  tcp::socket served = target.value().accept();
  std::string got;
  boost::system::error_code end;
  boost::asio::read(served, boost::asio::dynamic_buffer(got), end);
  BOOST_TEST(got.size() == kBytes);
  BOOST_TEST((end == boost::asio::error::eof));
  boost::asio::write(served, boost::asio::buffer(std::string("answer")));
  served.close();
  std::string answer;
  boost::asio::read(client, boost::asio::dynamic_buffer(answer), end);
  BOOST_TEST(answer == "answer");
  writer.join();
  io.stop();
  thread.join();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace cardamomchute::relay
