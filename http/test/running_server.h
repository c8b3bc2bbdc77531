/// An HttpServer on a thread of its own, at a port the kernel chose.
#ifndef CARDAMOMCHUTE_PLATFORM_TEST_RUNNING_SERVER_H_
#define CARDAMOMCHUTE_PLATFORM_TEST_RUNNING_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "cardamomchute/http/http_server.h"

namespace cardamomchute {

class RunningServer {
 public:
  RunningServer(HttpLimits limits, std::vector<HttpRoute> routes)
      : server_(&io_, limits) {
    server_.AddRoutes(std::move(routes));
    BOOST_REQUIRE(server_.Start({"127.0.0.1", 0}).has_value());
    thread_ = std::thread([this] { io_.run(); });
  }
  ~RunningServer() {
    io_.stop();
    thread_.join();
  }
  Address address() const { return {"127.0.0.1", server_.port()}; }

 private:
  boost::asio::io_context io_;
  HttpServer server_;
  std::thread thread_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PLATFORM_TEST_RUNNING_SERVER_H_
