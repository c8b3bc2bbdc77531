#include "route.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "cardamomchute/base/log.h"
#include "cardamomchute/support/listen.h"

namespace cardamomchute::faultproxy {
namespace {

using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Closes with a reset instead of an orderly end.
void ResetSocket(tcp::socket* socket) {
  error_code ignored;
  socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket->close(ignored);
}

}  // namespace

/// A client's connection and the one to the target.
struct Route::Link {
  Link(tcp::socket from_client, boost::asio::any_io_executor executor)
      : client(std::move(from_client)), target(executor), wake(executor) {}

  tcp::socket client;
  tcp::socket target;
  boost::asio::steady_timer wake;
  std::unique_ptr<Pipe> to_target;
  std::unique_ptr<Pipe> to_client;
  bool silenced = false;
  bool reset = false;

  void Wake() {
    wake.cancel();
    if (to_target) to_target->Wake();
    if (to_client) to_client->Wake();
  }
  void Reset() {
    reset = true;
    ResetSocket(&client);
    ResetSocket(&target);
    if (to_target) to_target->Stop();
    if (to_client) to_client->Stop();
    wake.cancel();
  }
};

Route::Route(boost::asio::any_io_executor executor, Address listen,
             Address target)
    : executor_(executor),
      listen_(std::move(listen)),
      target_(std::move(target)) {}

Route::~Route() = default;

Status Route::Start() { return Listen(); }

Status Route::Listen() {
  BOOST_OUTCOME_TRY(acceptor, support::Listen(executor_, listen_));
  listen_.port = acceptor.local_endpoint().port();
  acceptor_ = std::make_shared<tcp::acceptor>(std::move(acceptor));
  boost::asio::co_spawn(executor_, Accept(), boost::asio::detached);
  return Ok();
}

boost::asio::awaitable<void> Route::Accept() {
  std::shared_ptr<tcp::acceptor> acceptor = acceptor_;
  while (acceptor == acceptor_) {
    error_code failed;
    tcp::socket socket =
        co_await acceptor->async_accept(redirect_error(use_awaitable, failed));
    if (failed == boost::asio::error::operation_aborted) co_return;
    if (failed) continue;
    std::shared_ptr<Link> link =
        std::make_shared<Link>(std::move(socket), executor_);
    links_.push_back(link);
    boost::asio::co_spawn(executor_, Serve(link), boost::asio::detached);
  }
}

bool Route::Passes(const Link& link, const Direction& direction) const {
  return !cut_ && !link.silenced && !direction.stopped;
}

/// A connection made during a cut waits for its end.
boost::asio::awaitable<bool> Route::Connect(std::shared_ptr<Link> link) {
  error_code failed;
  while (!link->reset && !Passes(*link, to_target_)) {
    link->wake.expires_at(std::chrono::steady_clock::time_point::max());
    co_await link->wake.async_wait(redirect_error(use_awaitable, failed));
  }
  Result<tcp::endpoint> endpoint = support::ToEndpoint(target_);
  if (link->reset || !endpoint) co_return false;
  co_await link->target.async_connect(endpoint.value(),
                                      redirect_error(use_awaitable, failed));
  if (failed || link->reset) co_return false;
  link->client.set_option(tcp::no_delay(true), failed);
  link->target.set_option(tcp::no_delay(true), failed);
  co_return true;
}

boost::asio::awaitable<void> Route::Serve(std::shared_ptr<Link> link) {
  bool connected = co_await Connect(link);
  if (connected) {
    Link* l = link.get();
    l->to_target =
        std::make_unique<Pipe>(&l->client, &l->target, &to_target_,
                               [this, l] { return Passes(*l, to_target_); });
    l->to_client =
        std::make_unique<Pipe>(&l->target, &l->client, &to_client_,
                               [this, l] { return Passes(*l, to_client_); });
    bool back_done = false;
    boost::asio::co_spawn(
        executor_, [l] { return l->to_client->Run(); },
        [l, link, &back_done](std::exception_ptr) {
          back_done = true;
          l->wake.cancel();
        });
    co_await l->to_target->Run();
    while (!back_done) {
      error_code ignored;
      l->wake.expires_at(std::chrono::steady_clock::time_point::max());
      co_await l->wake.async_wait(redirect_error(use_awaitable, ignored));
    }
  }
  ResetSocket(&link->target);
  error_code ignored;
  if (connected) link->client.close(ignored);
  if (!connected) ResetSocket(&link->client);
  links_.remove(link);
}

void Route::WakeAll() {
  for (const std::shared_ptr<Link>& link : links_) link->Wake();
}

void Route::SetDelay(std::optional<bool> to_target,
                     std::chrono::milliseconds delay) {
  if (to_target.value_or(true)) to_target_.delay = delay;
  if (!to_target.value_or(false)) to_client_.delay = delay;
  WakeAll();
}

void Route::Cut() {
  cut_ = true;
  WakeAll();
}

void Route::Refuse() {
  if (!acceptor_) return;
  error_code ignored;
  acceptor_->close(ignored);
  acceptor_.reset();
  Reset();
}

void Route::Drop(bool to_target) {
  (to_target ? to_target_ : to_client_).stopped = true;
  WakeAll();
}

void Route::Silence() {
  for (const std::shared_ptr<Link>& link : links_) link->silenced = true;
  WakeAll();
}

void Route::Reset() {
  for (const std::shared_ptr<Link>& link : links_) link->Reset();
}

void Route::Restore() {
  cut_ = false;
  to_target_.stopped = false;
  to_client_.stopped = false;
  if (!acceptor_) {
    Status listening = Listen();
    if (!listening) {
      LogLine(LogLevel::kError, "restore")
          .Field("error", ToString(listening.error()));
    }
  }
  WakeAll();
}

std::string Route::StateJson() const {
  nlohmann::json state;
  state["listen"] = ToString(listen_);
  state["target"] = ToString(target_);
  state["connections"] = links_.size();
  state["cut"] = cut_;
  state["refusing"] = acceptor_ == nullptr;
  state["to_target"] = {{"delay_ms", to_target_.delay.count()},
                        {"dropped", to_target_.stopped},
                        {"bytes", to_target_.bytes}};
  state["to_client"] = {{"delay_ms", to_client_.delay.count()},
                        {"dropped", to_client_.stopped},
                        {"bytes", to_client_.bytes}};
  return state.dump();
}

}  // namespace cardamomchute::faultproxy
