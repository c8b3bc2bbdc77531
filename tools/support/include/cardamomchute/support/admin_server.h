/// A small HTTP server by which a tool is driven while it runs.
#ifndef CARDAMOMCHUTE_SUPPORT_ADMIN_SERVER_H_
#define CARDAMOMCHUTE_SUPPORT_ADMIN_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace cardamomchute::support {

/// POST /lag?ms=50: method "POST", path "/lag", parameters {ms: 50}.
struct AdminRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> parameters;

  /// The parameter as a number that is not negative; nothing when it is
  /// missing or is none.
  std::optional<int64_t> Number(const std::string& name) const;
};

struct AdminResponse {
  unsigned status = 200;
  std::string body = "{}\n";
};

AdminResponse BadRequest(const std::string& what);

using AdminHandler = std::function<AdminResponse(const AdminRequest&)>;

/// Splits "/path?a=1&b=2".
AdminRequest ParseTarget(const std::string& method, const std::string& target);

/// Serves till the acceptor is closed.
boost::asio::awaitable<void> ServeAdmin(boost::asio::ip::tcp::acceptor acceptor,
                                        AdminHandler handler);

}  // namespace cardamomchute::support

#endif  // CARDAMOMCHUTE_SUPPORT_ADMIN_SERVER_H_
