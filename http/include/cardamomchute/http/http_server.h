/// A small HTTP/1.1 server on one thread, for the platform, the endpoints'
/// announcements and the operators.
///
///     HttpServer server(&io);
///     server.AddRoutes({{"GET", "/v1/groups/{group}", handle}});
///     server.Start(address);
#ifndef CARDAMOMCHUTE_HTTP_HTTP_SERVER_H_
#define CARDAMOMCHUTE_HTTP_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

struct HttpRequest {
  std::string method;
  std::string path;  ///< without the query
  /// What stands in the route's braces, by name.
  std::map<std::string, std::string> captures;
  std::map<std::string, std::string> query;
  std::string body;
};

struct HttpResponse {
  uint32_t status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::map<std::string, std::string> headers = {};  ///< others, by name
};

using HttpDone = std::function<void(HttpResponse)>;

/// `handle` runs on the server's thread; `done` may run later and anywhere,
/// and counts once. Without it the caller gets 504 after the answer limit.
struct HttpRoute {
  std::string method;
  std::string path;  ///< "/v1/environments/{env}/status"
  std::function<void(HttpRequest, HttpDone)> handle;
};

struct HttpLimits {
  size_t header_bytes = 16 * 1024;
  size_t body_bytes = 1024 * 1024;
  size_t connections = 512;
  Duration read = Seconds(10);    ///< from a connection's last answer
  Duration answer = Seconds(40);  ///< for the route's handler
  Duration write = Seconds(10);
};

/// Call from the io_context's one thread only.
class HttpServer {
 public:
  explicit HttpServer(boost::asio::io_context* io, HttpLimits limits = {});
  /// Closes every connection; wait for Stop's answers before.
  ~HttpServer();

  void AddRoutes(std::vector<HttpRoute> routes);
  /// Binds and accepts; kIo when the address can't be had. Port 0 takes any.
  Status Start(const Address& listen);
  /// Takes nothing new; requests under way are still answered.
  void Stop();
  uint16_t port() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_HTTP_HTTP_SERVER_H_
