#include "cardamomchute/peers/channel_router.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "cardamomchute/base/log.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// Larger statements are not kept for another try.
constexpr size_t kMaxKeptBytes = 256 * 1024;
/// Less time than this left is not worth another try.
constexpr Duration kLeastTimeLeft = Millis(1);

bool IsRead(const Statement& statement) {
  return statement.kind == static_cast<uint8_t>(StatementKind::kRead);
}

/// The owner and the place to reach it; nothing when there is none.
struct OwnerPlace {
  VmId vm;
  Epoch epoch;
  Address address;
};

std::optional<OwnerPlace> FindOwner(const ViewPtr& view, const GroupId& group) {
  if (!view) return std::nullopt;
  std::map<GroupId, GroupState>::const_iterator state =
      view->groups.find(group);
  if (state == view->groups.end()) return std::nullopt;
  std::map<VmId, VmState>::const_iterator vm =
      view->vms.find(state->second.owner);
  if (vm == view->vms.end()) return std::nullopt;
  return OwnerPlace{vm->first, state->second.epoch, vm->second.peer_address};
}

}  // namespace

/// One caller's channel and the leg to the owner that carries it now.
struct ChannelRouter::Route : std::enable_shared_from_this<Route> {
  Route(std::shared_ptr<ChannelRouter> router, uint64_t id, OpenChannel open,
        FromOwnerSink sink)
      : router(std::move(router)),
        id(id),
        open(std::move(open)),
        sink(std::move(sink)),
        timer(*this->router->params_.thread) {}

  ~Route() {
    if (leg) leg(CloseChannel{});
    router->routes_.erase(id);
  }

  std::shared_ptr<ChannelRouter> router;
  uint64_t id;
  OpenChannel open;
  FromOwnerSink sink;
  asio::steady_timer timer;

  ToOwnerSink leg;          ///< empty: no owner at the moment
  uint64_t leg_number = 0;  ///< messages of earlier legs are dropped
  OwnerPlace owner;
  bool over = false;

  std::optional<Statement> kept;  ///< under way and safe to send again
  std::vector<ToOwner> waiting;   ///< under way and not sent: its later bytes
  bool under_way = false;
  bool sent = false;  ///< the statement under way is with an owner
  bool may_write = false;
  uint64_t number = 0;
  Time give_up;
  char transaction_status = 'I';

  void ToOwnerSide(ToOwner message);
  void FromOwnerSide(uint64_t from_leg, FromOwner message);
  void Begin(Statement statement);
  void Dispatch();
  bool Connect();
  void DropLeg();
  void OnReset(const ChannelReset& reset);
  void WaitForOwner();
  void Refuse(const std::string& sqlstate, const std::string& message,
              const std::string& hint);
  void OnView();
};

void ChannelRouter::Route::ToOwnerSide(ToOwner message) {
  if (over) return;
  if (Statement* statement = std::get_if<Statement>(&message)) {
    return Begin(std::move(*statement));
  }
  if (std::holds_alternative<CloseChannel>(message)) {
    if (leg) leg(std::move(message));
    leg = nullptr;
    over = true;
    timer.cancel();
    return;
  }
  if (leg && (sent || !under_way)) return leg(std::move(message));
  if (std::holds_alternative<StatementData>(message)) {
    waiting.push_back(std::move(message));
  } else if (std::holds_alternative<CancelStatement>(message) && under_way) {
    Refuse("57014", "statement canceled before it ran", "");
  }
}

void ChannelRouter::Route::Begin(Statement statement) {
  under_way = true;
  sent = false;
  may_write = !IsRead(statement);
  number = statement.number;
  waiting.clear();
  Duration wait =
      statement.deadline > Millis(0) ? statement.deadline : kOwnerWait;
  give_up = Now() + wait;
  kept = std::move(statement);
  Dispatch();
}

void ChannelRouter::Route::Dispatch() {
  if (!leg && !Connect()) return WaitForOwner();
  Duration left = give_up - Now();
  if (kept->deadline > Millis(0)) kept->deadline = left;
  sent = true;
  bool keep = kept->complete && kept->bytes.size() <= kMaxKeptBytes &&
              transaction_status == 'I';
  if (keep) {
    leg(*kept);
  } else {
    Statement statement = std::move(*kept);
    kept.reset();
    leg(std::move(statement));
  }
  std::vector<ToOwner> later = std::move(waiting);
  waiting.clear();
  for (ToOwner& message : later) leg(std::move(message));
}

bool ChannelRouter::Route::Connect() {
  std::optional<OwnerPlace> place =
      FindOwner(router->params_.view(), open.group);
  if (!place) return false;
  owner = *place;
  uint64_t this_leg = ++leg_number;
  std::weak_ptr<Route> weak = weak_from_this();
  FromOwnerSink from_owner = [weak, this_leg](FromOwner message) {
    std::shared_ptr<Route> route = weak.lock();
    if (route) route->FromOwnerSide(this_leg, std::move(message));
  };
  bool local = owner.vm == router->params_.vm;
  leg = local ? router->params_.open_local(open, std::move(from_owner))
              : router->params_.open_remote(owner.address, open,
                                            std::move(from_owner));
  LogLine(LogLevel::kDebug, "route_group")
      .Field("group", open.group)
      .Field("session", open.session)
      .Field("owner", owner.vm)
      .Field("epoch", owner.epoch)
      .Field("local", local);
  return true;
}

void ChannelRouter::Route::DropLeg() {
  if (leg) leg(CloseChannel{});
  leg = nullptr;
  ++leg_number;
}

void ChannelRouter::Route::FromOwnerSide(uint64_t from_leg, FromOwner message) {
  if (over || from_leg != leg_number) return;
  if (ChannelReset* reset = std::get_if<ChannelReset>(&message)) {
    return OnReset(*reset);
  }
  if (std::holds_alternative<AnswerData>(message)) kept.reset();
  if (StatementEnd* end = std::get_if<StatementEnd>(&message)) {
    if (end->floor) open.floor = end->floor;
    transaction_status = end->transaction_status;
    under_way = false;
    sent = false;
    kept.reset();
  }
  sink(std::move(message));
}

void ChannelRouter::Route::OnReset(const ChannelReset& reset) {
  leg = nullptr;
  ++leg_number;
  if (!under_way && transaction_status == 'I') return;
  bool certainly_not_run = reset.sent_nothing || !may_write;
  if (under_way && kept && certainly_not_run) {
    sent = false;
    return WaitForOwner();
  }
  over = true;
  sink(ChannelReset{reset.sent_nothing && under_way, reset.reason});
}

void ChannelRouter::Route::WaitForOwner() {
  Duration left = give_up - Now();
  if (left < kLeastTimeLeft) {
    return Refuse("57P03", "no VM owns group " + open.group.value() + " now",
                  "not run; try again, and see `cardamomchute status`");
  }
  Duration pause = left < kOwnerRetry ? left : kOwnerRetry;
  timer.expires_after(std::chrono::milliseconds(pause.ms()));
  std::weak_ptr<Route> weak = weak_from_this();
  timer.async_wait([weak](error_code error) {
    std::shared_ptr<Route> route = weak.lock();
    if (error || !route || route->over) return;
    if (route->under_way && !route->sent) route->Dispatch();
  });
}

void ChannelRouter::Route::Refuse(const std::string& sqlstate,
                                  const std::string& message,
                                  const std::string& hint) {
  StatementEnd end;
  end.number = number;
  end.outcome = static_cast<uint8_t>(StatementOutcome::kNotRun);
  end.transaction_status = 'I';
  end.sqlstate = sqlstate;
  end.message = message;
  end.hint = hint;
  under_way = false;
  kept.reset();
  waiting.clear();
  timer.cancel();
  // Posted: the caller's side may be within its own call just now.
  std::shared_ptr<Route> self = shared_from_this();
  asio::post(*router->params_.thread, [self, end] {
    if (!self->over) self->sink(end);
  });
}

void ChannelRouter::Route::OnView() {
  if (over) return;
  if (under_way && !sent) return Dispatch();
  if (under_way || transaction_status != 'I' || !leg) return;
  std::optional<OwnerPlace> place =
      FindOwner(router->params_.view(), open.group);
  bool moved = !place || place->vm != owner.vm || place->epoch != owner.epoch;
  if (moved) DropLeg();
}

ChannelRouter::ChannelRouter(RouterParams params)
    : params_(std::move(params)) {}

ToOwnerSink ChannelRouter::Open(const OpenChannel& open, FromOwnerSink sink) {
  std::shared_ptr<Route> route = std::make_shared<Route>(
      shared_from_this(), next_route_++, open, std::move(sink));
  routes_[route->id] = route;
  return [route](ToOwner message) { route->ToOwnerSide(std::move(message)); };
}

void ChannelRouter::OnView() {
  std::vector<std::shared_ptr<Route>> routes;
  for (const std::pair<const uint64_t, std::weak_ptr<Route>>& entry : routes_) {
    if (std::shared_ptr<Route> route = entry.second.lock()) {
      routes.push_back(std::move(route));
    }
  }
  for (const std::shared_ptr<Route>& route : routes) route->OnView();
}

ChannelOpener BridgeThreads(asio::io_context* from, asio::io_context* to,
                            ChannelOpener open) {
  return [from, to, open](const OpenChannel& channel, FromOwnerSink sink) {
    struct Bridge {
      ToOwnerSink to_owner;
      FromOwnerSink sink;
    };
    std::shared_ptr<Bridge> bridge = std::make_shared<Bridge>();
    bridge->sink = std::move(sink);
    asio::post(*to, [bridge, from, open, channel] {
      bridge->to_owner = open(channel, [bridge, from](FromOwner message) {
        asio::post(*from, [bridge, message = std::move(message)]() mutable {
          bool over = std::holds_alternative<ChannelReset>(message);
          FromOwnerSink to_caller = bridge->sink;
          if (over) bridge->sink = nullptr;
          if (to_caller) to_caller(std::move(message));
        });
      });
    });
    return ToOwnerSink([bridge, to](ToOwner message) {
      asio::post(*to, [bridge, message = std::move(message)]() mutable {
        bool closes = std::holds_alternative<CloseChannel>(message);
        ToOwnerSink to_owner = bridge->to_owner;
        if (closes) bridge->to_owner = nullptr;
        if (to_owner) to_owner(std::move(message));
      });
    });
  };
}

}  // namespace cardamomchute
