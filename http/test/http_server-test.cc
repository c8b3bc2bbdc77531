#include "cardamomchute/http/http_server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <random>

#include "cardamomchute/http/http_client.h"
#include "running_server.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

std::vector<HttpRoute> TestRoutes() {
  return {
      {"POST", "/v1/groups/{group}/echo",
       [](HttpRequest request, HttpDone done) {
         done({200, "text/plain",
               request.captures["group"] + "," + request.query["n"] + "," +
                   request.body});
       }},
      {"GET", "/never", [](HttpRequest, HttpDone) {}},
      {"GET", "/twice",
       [](HttpRequest, HttpDone done) {
         done({200, "text/plain", "first"});
         done({200, "text/plain", "second"});
       }},
  };
}

HttpLimits SmallLimits() {
  HttpLimits limits;
  limits.body_bytes = 1000;
  limits.header_bytes = 2000;
  limits.connections = 3;
  limits.answer = Millis(200);
  return limits;
}

struct Fixture {
  RunningServer server{SmallLimits(), TestRoutes()};

  Result<HttpResponse> Call(const std::string& method,
                            const std::string& target,
                            const std::string& body = "") {
    return CallHttp(server.address(), method, target, body, Seconds(20));
  }

  tcp::socket Connect(asio::io_context* io) {
    tcp::socket socket(*io);
    socket.connect({asio::ip::address_v4::loopback(), server.address().port});
    return socket;
  }

  /// Sends raw bytes, says no more, and reads until the server closes.
  std::string SendRaw(const std::string& bytes) {
    asio::io_context io;
    tcp::socket socket = Connect(&io);
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    socket.shutdown(tcp::socket::shutdown_send, error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(routes_get_captures_query_and_body, Fixture) {
  Result<HttpResponse> answer =
      Call("POST", "/v1/groups/job%20tickets/echo?n=a%2Bb", "body");
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer.value().status == 200U);
  BOOST_TEST(answer.value().body == "job tickets,a+b,body");
}

BOOST_FIXTURE_TEST_CASE(unknown_paths_and_methods_are_refused, Fixture) {
  BOOST_TEST(Call("GET", "/nothing").value().status == 404U);
  BOOST_TEST(Call("GET", "/v1/groups/a/echo").value().status == 405U);
  BOOST_TEST(Call("GET", "/v1/%zz?%").value().status == 400U);
}

BOOST_FIXTURE_TEST_CASE(a_second_answer_is_dropped, Fixture) {
  BOOST_TEST(Call("GET", "/twice").value().body == "first");
}

BOOST_FIXTURE_TEST_CASE(a_route_that_never_answers_gives_504, Fixture) {
  BOOST_TEST(Call("GET", "/never").value().status == 504U);
}

BOOST_FIXTURE_TEST_CASE(large_bodies_and_headers_are_refused, Fixture) {
  BOOST_TEST(Call("POST", "/v1/groups/a/echo", std::string(1001, 'x'))
                 .value()
                 .status == 413U);
  std::string answer = SendRaw(
      "GET /twice HTTP/1.1\r\nX-Long: " + std::string(3000, 'x') + "\r\n\r\n");
  BOOST_TEST(answer.substr(0, 12) == "HTTP/1.1 431");
}

BOOST_FIXTURE_TEST_CASE(random_bytes_are_refused_and_others_served, Fixture) {
  std::mt19937 random(7);
  for (int round = 0; round < 50; ++round) {
    std::string bytes(1 + random() % 1500, '\0');
    for (char& byte : bytes) byte = static_cast<char>(random());
    bytes[0] = '\x01';
    std::string answer = SendRaw(bytes);
    BOOST_TEST(answer.substr(0, 12) == "HTTP/1.1 400");
  }
  BOOST_TEST(Call("GET", "/twice").value().status == 200U);
}

BOOST_FIXTURE_TEST_CASE(truncated_requests_are_closed, Fixture) {
  BOOST_TEST(SendRaw("").empty());
  BOOST_TEST(SendRaw("POST /twice HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc")
                 .substr(0, 12) != "HTTP/1.1 200");
  BOOST_TEST(Call("GET", "/twice").value().status == 200U);
}

BOOST_FIXTURE_TEST_CASE(connections_beyond_the_limit_are_closed, Fixture) {
  asio::io_context io;
  std::vector<tcp::socket> idle;
  for (int i = 0; i < 3; ++i) {
    idle.push_back(Connect(&io));
    asio::write(idle.back(), asio::buffer("GET /twice HTTP/1.1\r\n\r\n", 23));
    std::string first(1, '\0');
    asio::read(idle.back(), asio::buffer(first));
  }
  BOOST_TEST(!Call("GET", "/twice").has_value());
}

BOOST_FIXTURE_TEST_CASE(several_requests_share_a_connection, Fixture) {
  std::string two = "GET /twice HTTP/1.1\r\n\r\nGET /twice HTTP/1.1\r\n\r\n";
  std::string answer = SendRaw(two);
  size_t first = answer.find("first");
  BOOST_TEST(first != std::string::npos);
  BOOST_TEST(answer.find("first", first + 1) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_address_in_use_is_an_error) {
  RunningServer first({}, {});
  asio::io_context io;
  HttpServer second(&io);
  Status status = second.Start(first.address());
  BOOST_REQUIRE(!status.has_value());
  BOOST_TEST((status.error().kind == ErrorKind::kIo));
  BOOST_TEST(!status.error().remedy.empty());
}

BOOST_AUTO_TEST_CASE(a_stopped_server_still_answers_what_it_took) {
  asio::io_context io;
  HttpServer server(&io);
  HttpDone kept;
  server.AddRoutes({{"GET", "/slow", [&](HttpRequest, HttpDone done) {
                       kept = std::move(done);
                       io.stop();
                     }}});
  BOOST_REQUIRE(server.Start({"127.0.0.1", 0}).has_value());
  tcp::socket socket(io);
  socket.connect({asio::ip::address_v4::loopback(), server.port()});
  asio::write(socket, asio::buffer("GET /slow HTTP/1.1\r\n\r\n", 22));
  io.run();
  BOOST_REQUIRE(kept);
  server.Stop();
  kept({200, "text/plain", "done"});
  io.restart();
  io.run();
  std::string answer;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  BOOST_TEST(answer.find("done") != std::string::npos);
  tcp::socket late(io);
  late.connect({asio::ip::address_v4::loopback(), server.port()}, error);
  BOOST_TEST(error.failed());
}

}  // namespace cardamomchute
