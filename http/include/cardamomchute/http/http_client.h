/// HTTP requests to other processes: one call, one connection.
#ifndef CARDAMOMCHUTE_HTTP_HTTP_CLIENT_H_
#define CARDAMOMCHUTE_HTTP_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>

#include "cardamomchute/http/http_server.h"

namespace cardamomchute {

struct HttpCall {
  Address server;
  std::string method;
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers = {};
  /// Checked once connected, right before the request is written: if it returns
  /// false, nothing is sent and the call ends with kUnavailable.
  std::function<bool()> may_send = nullptr;
};

/// Sends one request from `io`; `done` runs once, after at most `timeout`.
/// kUnavailable: no connection, so nothing was sent. kTimeout and kProtocol:
/// sent, but no whole answer came back.
void StartHttpCall(boost::asio::io_context& io, const HttpCall& call,
                   Duration timeout,
                   std::function<void(Result<HttpResponse>)> done);

/// The same, blocking, for command-line tools and tests.
Result<HttpResponse> CallHttp(const Address& server, const std::string& method,
                              const std::string& target,
                              const std::string& body, Duration timeout);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_HTTP_HTTP_CLIENT_H_
