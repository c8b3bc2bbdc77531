#include "cardamomchute/http/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

namespace cardamomchute {

namespace asio = boost::asio;
using asio::ip::tcp;

BOOST_AUTO_TEST_CASE(a_closed_port_means_nothing_was_sent) {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  uint16_t port = acceptor.local_endpoint().port();
  acceptor.close();
  Result<HttpResponse> answer =
      CallHttp({"127.0.0.1", port}, "GET", "/", "", Seconds(20));
  BOOST_REQUIRE(!answer.has_value());
  BOOST_TEST((answer.error().kind == ErrorKind::kUnavailable));
}

BOOST_AUTO_TEST_CASE(a_silent_server_ends_in_a_timeout) {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  uint16_t port = acceptor.local_endpoint().port();
  Result<HttpResponse> answer =
      CallHttp({"127.0.0.1", port}, "GET", "/", "", Millis(100));
  BOOST_REQUIRE(!answer.has_value());
  BOOST_TEST((answer.error().kind == ErrorKind::kTimeout));
}

}  // namespace cardamomchute
