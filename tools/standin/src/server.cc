#include "server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "cardamomchute/base/log.h"
#include "cardamomchute/support/listen.h"

namespace cardamomchute::standin {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using support::AdminRequest;
using support::AdminResponse;

constexpr std::chrono::seconds kDrainLimit(20);
constexpr std::chrono::milliseconds kDrainPoll(50);

}  // namespace

Server::Server(boost::asio::io_context* io, ServerOptions options)
    : io_(*io),
      options_(std::move(options)),
      member_(io->get_executor(), !options_.primary, options_.lag,
              HistoryFile(options_.id.value(), options_.history_path)),
      follower_(io->get_executor(), &member_) {
  host_.member = &member_;
  host_.slots = std::make_shared<Slots>(options_.slots);
  host_.service = options_.service;
  host_.follow = [this](const Address& primary) {
    Address repl = primary;
    repl.port = static_cast<uint16_t>(repl.port + options_.repl_offset);
    follower_.Follow(repl);
  };
  registry_.max_connections = options_.max_connections;
  registry_.connect_cost = options_.connect_cost;
}

Status Server::Start() {
  BOOST_OUTCOME_TRY(clients,
                    support::Listen(io_.get_executor(), options_.listen));
  BOOST_OUTCOME_TRY(followers,
                    support::Listen(io_.get_executor(), options_.repl_listen));
  port_ = clients.local_endpoint().port();
  repl_port_ = followers.local_endpoint().port();
  options_.listen.port = port_;
  if (options_.admin) {
    BOOST_OUTCOME_TRY(admin,
                      support::Listen(io_.get_executor(), *options_.admin));
    boost::asio::co_spawn(
        io_,
        support::ServeAdmin(
            std::move(admin),
            [this](const AdminRequest& request) { return OnAdmin(request); }),
        boost::asio::detached);
  }
  boost::asio::co_spawn(io_, Accept(std::move(clients)), boost::asio::detached);
  replication_.emplace(std::move(followers), &member_);
  boost::asio::co_spawn(io_, replication_->Run(), boost::asio::detached);
  if (options_.primary) follower_.Follow(*options_.primary);
  boost::asio::co_spawn(io_, follower_.Run(), boost::asio::detached);
  Announcement announcement{
      options_.id,          options_.group,
      options_.environment, options_.announce_address.value_or(options_.listen),
      options_.zone,        options_.ttl};
  announcer_ = std::make_unique<Announcer>(
      io_.get_executor(), std::move(announcement), options_.announce);
  announcer_->Start();
  return Ok();
}

boost::asio::awaitable<void> Server::Accept(tcp::acceptor acceptor) {
  for (;;) {
    error_code failed;
    tcp::socket socket = co_await acceptor.async_accept(
        boost::asio::redirect_error(boost::asio::use_awaitable, failed));
    if (failed == boost::asio::error::operation_aborted) co_return;
    if (failed) continue;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::shared_ptr<Session> session = std::make_shared<Session>(
        std::move(socket), &host_, &registry_, ++last_pid_);
    boost::asio::co_spawn(io_, Session::Run(session), boost::asio::detached);
  }
}

void Server::Shutdown() {
  if (registry_.draining) return;
  LogLine(LogLevel::kInfo, "shutdown")
      .Field("sessions", registry_.sessions.size());
  registry_.draining = true;
  announcer_->Leave();
  boost::asio::co_spawn(io_, AwaitDrained(), boost::asio::detached);
}

boost::asio::awaitable<void> Server::AwaitDrained() {
  SteadyTime give_up = std::chrono::steady_clock::now() + kDrainLimit;
  boost::asio::steady_timer timer(io_);
  // The first pause lets the announcement of the leave go out.
  do {
    timer.expires_after(kDrainPoll);
    co_await timer.async_wait(boost::asio::use_awaitable);
    for (const auto& [pid, session] : registry_.sessions) session->Drain();
  } while (!registry_.sessions.empty() &&
           std::chrono::steady_clock::now() < give_up);
  io_.stop();
}

AdminResponse Server::OnAdmin(const AdminRequest& request) {
  if (request.method == "GET" && request.path == "/state") {
    return AdminResponse{200, StateJson() + "\n"};
  }
  if (request.method == "POST") return OnPost(request);
  return AdminResponse{404, "{}\n"};
}

AdminResponse Server::OnPost(const AdminRequest& request) {
  if (request.path == "/leave") {
    announcer_->Leave();
    return AdminResponse{200, StateJson() + "\n"};
  }
  if (request.path == "/lag") {
    std::optional<int64_t> ms = request.Number("ms");
    if (!ms) return support::BadRequest("lag needs ms=N");
    member_.SetLag(Millis(*ms));
  } else if (request.path == "/service") {
    std::optional<int64_t> us = request.Number("us");
    if (!us) return support::BadRequest("service needs us=N");
    host_.service = std::chrono::microseconds(*us);
  } else if (request.path == "/slots") {
    std::optional<int64_t> n = request.Number("n");
    if (!n) return support::BadRequest("slots needs n=N");
    host_.slots->SetLimit(static_cast<size_t>(*n));
  } else {
    return AdminResponse{404, "{}\n"};
  }
  return AdminResponse{200, StateJson() + "\n"};
}

std::string Server::StateJson() const {
  nlohmann::json state;
  state["id"] = options_.id.value();
  state["group"] = options_.group.value();
  state["primary"] = member_.is_primary();
  state["term"] = member_.term().value();
  state["received"] = member_.received().value();
  state["replayed"] = member_.replayed().value();
  state["lag_ms"] = member_.lag().ms();
  state["service_us"] = host_.service.count();
  state["slots"] = host_.slots->limit();
  state["slots_used"] = host_.slots->used();
  state["waiting"] = host_.slots->waiting();
  state["connections"] = registry_.sessions.size();
  state["followers"] = replication_ ? replication_->followers() : 0;
  state["follows"] = follower_.primary() ? ToString(*follower_.primary()) : "";
  state["connected"] = follower_.connected();
  state["leaving"] = announcer_ && announcer_->leaving();
  return state.dump();
}

}  // namespace cardamomchute::standin
