#include "cardamomchute/support/admin_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>

namespace cardamomchute::support {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::seconds kIdleTimeout(30);

boost::asio::awaitable<void> Serve(tcp::socket socket, AdminHandler handler) {
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  for (;;) {
    stream.expires_after(kIdleTimeout);
    error_code failed;
    http::request<http::string_body> request;
    co_await http::async_read(stream, buffer, request,
                              redirect_error(use_awaitable, failed));
    if (failed) co_return;
    AdminResponse answer = handler(ParseTarget(
        std::string(request.method_string()), std::string(request.target())));
    http::response<http::string_body> response(
        static_cast<http::status>(answer.status), request.version());
    response.set(http::field::content_type, "application/json");
    response.keep_alive(request.keep_alive());
    response.body() = answer.body;
    response.prepare_payload();
    co_await http::async_write(stream, response,
                               redirect_error(use_awaitable, failed));
    if (failed || !response.keep_alive()) co_return;
  }
}

}  // namespace

std::optional<int64_t> AdminRequest::Number(const std::string& name) const {
  auto found = parameters.find(name);
  if (found == parameters.end()) return std::nullopt;
  const std::string& text = found->second;
  int64_t n = 0;
  const char* end = text.data() + text.size();
  std::from_chars_result r = std::from_chars(text.data(), end, n);
  bool whole = r.ec == std::errc() && r.ptr == end && n >= 0;
  return whole ? std::optional<int64_t>(n) : std::nullopt;
}

AdminResponse BadRequest(const std::string& what) {
  nlohmann::json body;
  body["error"] = what;
  return AdminResponse{400, body.dump() + "\n"};
}

AdminRequest ParseTarget(const std::string& method, const std::string& target) {
  AdminRequest request;
  request.method = method;
  size_t question = target.find('?');
  request.path = target.substr(0, question);
  if (question == std::string::npos) return request;
  std::istringstream pairs(target.substr(question + 1));
  std::string pair;
  while (std::getline(pairs, pair, '&')) {
    size_t equals = pair.find('=');
    if (equals == std::string::npos) continue;
    request.parameters[pair.substr(0, equals)] = pair.substr(equals + 1);
  }
  return request;
}

boost::asio::awaitable<void> ServeAdmin(tcp::acceptor acceptor,
                                        AdminHandler handler) {
  for (;;) {
    error_code failed;
    tcp::socket socket =
        co_await acceptor.async_accept(redirect_error(use_awaitable, failed));
    if (failed == boost::asio::error::operation_aborted) co_return;
    if (failed) continue;
    boost::asio::co_spawn(acceptor.get_executor(),
                          Serve(std::move(socket), handler),
                          boost::asio::detached);
  }
}

}  // namespace cardamomchute::support
