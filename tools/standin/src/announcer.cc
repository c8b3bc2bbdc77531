#include "announcer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "cardamomchute/base/log.h"

namespace cardamomchute::standin {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::seconds kPostTimeout(1);
constexpr int kAnnouncementsPerTtl = 3;

/// Status of the answer; zero when there was none.
boost::asio::awaitable<unsigned> Post(boost::asio::any_io_executor executor,
                                      const Address& target, std::string body) {
  error_code failed;
  boost::asio::ip::address ip =
      boost::asio::ip::make_address(target.host, failed);
  if (failed) co_return 0;
  beast::tcp_stream stream(executor);
  stream.expires_after(kPostTimeout);
  co_await stream.async_connect(tcp::endpoint(ip, target.port),
                                redirect_error(use_awaitable, failed));
  if (failed) co_return 0;
  http::request<http::string_body> request(http::verb::post, "/v1/announce",
                                           11);
  request.set(http::field::host, ToString(target));
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  request.prepare_payload();
  co_await http::async_write(stream, request,
                             redirect_error(use_awaitable, failed));
  if (failed) co_return 0;
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  co_await http::async_read(stream, buffer, response,
                            redirect_error(use_awaitable, failed));
  co_return failed ? 0 : response.result_int();
}

}  // namespace

Announcer::Announcer(boost::asio::any_io_executor executor,
                     Announcement announcement, std::vector<Address> targets)
    : executor_(executor),
      announcement_(std::move(announcement)),
      targets_(std::move(targets)) {
  for (size_t i = 0; i < targets_.size(); ++i) timers_.emplace_back(executor);
}

void Announcer::Start() {
  for (size_t i = 0; i < targets_.size(); ++i) {
    boost::asio::co_spawn(executor_, Run(i), boost::asio::detached);
  }
}

void Announcer::Leave() {
  leaving_ = true;
  for (boost::asio::steady_timer& timer : timers_) timer.cancel();
}

std::string Announcer::Body() const {
  nlohmann::json body;
  body["id"] = announcement_.id.value();
  body["group"] = announcement_.group.value();
  body["environment"] = announcement_.environment.value();
  body["address"] = ToString(announcement_.address);
  body["zone"] = announcement_.zone.value();
  body["ttl_ms"] = announcement_.ttl.ms();
  body["leaving"] = leaving_;
  return body.dump();
}

boost::asio::awaitable<void> Announcer::Run(size_t index) {
  unsigned last_status = 1;
  for (;;) {
    bool leaving = leaving_;
    unsigned status = co_await Post(executor_, targets_[index], Body());
    if (status != last_status) {
      LogLine(LogLevel::kInfo, "announce")
          .Field("target", ToString(targets_[index]))
          .Field("status", status);
    }
    last_status = status;
    if (leaving != leaving_) continue;
    int64_t pause = announcement_.ttl.ms() / kAnnouncementsPerTtl;
    timers_[index].expires_after(std::chrono::milliseconds(pause));
    error_code ignored;
    co_await timers_[index].async_wait(redirect_error(use_awaitable, ignored));
  }
}

}  // namespace cardamomchute::standin
