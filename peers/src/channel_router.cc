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

/// Statements larger than this are not buffered for a retry.
constexpr size_t kMaxRetryableBytes = 256 * 1024;
/// With less time than this left, a statement is refused instead of retried.
constexpr Duration kMinTimeLeft = Millis(1);

bool IsRead(const Statement& statement) {
  return statement.kind == static_cast<uint8_t>(StatementKind::kRead);
}

/// The owner of a group, its epoch and its address.
struct OwnerLocation {
  VmId vm;
  Epoch epoch;
  Address address;
};

/// Returns nullopt if the view has no owner for the group.
std::optional<OwnerLocation> FindOwner(const ViewPtr& view,
                                       const GroupId& group) {
  if (!view) return std::nullopt;
  std::map<GroupId, GroupState>::const_iterator state =
      view->groups.find(group);
  if (state == view->groups.end()) return std::nullopt;
  std::map<VmId, VmState>::const_iterator vm =
      view->vms.find(state->second.owner);
  if (vm == view->vms.end()) return std::nullopt;
  return OwnerLocation{vm->first, state->second.epoch, vm->second.peer_address};
}

}  // namespace

/// A caller's channel, and the upstream channel to the current owner.
struct ChannelRouter::Route : std::enable_shared_from_this<Route> {
  Route(std::shared_ptr<ChannelRouter> router, uint64_t id, OpenChannel open,
        FromOwnerSink sink)
      : router(std::move(router)),
        id(id),
        open(std::move(open)),
        sink(std::move(sink)),
        timer(*this->router->params_.thread) {}

  ~Route() {
    if (upstream) upstream(CloseChannel{});
    router->routes_.erase(id);
  }

  std::shared_ptr<ChannelRouter> router;
  uint64_t id;
  OpenChannel open;
  FromOwnerSink sink;
  asio::steady_timer timer;

  ToOwnerSink upstream;          ///< empty: not connected to an owner
  uint64_t upstream_number = 0;  ///< messages of earlier upstreams are dropped
  OwnerLocation owner;
  bool closed = false;

  std::optional<Statement>
      retryable;                ///< statement in progress, if safe to resend
  std::vector<ToOwner> queued;  ///< later messages of an unsent statement
  bool in_progress = false;
  bool sent = false;  ///< the statement in progress was sent to an owner
  bool may_write = false;
  uint64_t number = 0;
  Time owner_deadline;
  char transaction_status = 'I';

  void OnCallerMessage(ToOwner message);
  void OnOwnerMessage(uint64_t from_upstream, FromOwner message);
  void StartStatement(Statement statement);
  void Dispatch();
  bool Connect();
  void CloseUpstream();
  void OnReset(const ChannelReset& reset);
  void WaitForOwner();
  void Refuse(const std::string& sqlstate, const std::string& message,
              const std::string& hint);
  void OnView();
};

void ChannelRouter::Route::OnCallerMessage(ToOwner message) {
  if (closed) return;
  if (Statement* statement = std::get_if<Statement>(&message)) {
    return StartStatement(std::move(*statement));
  }
  if (std::holds_alternative<CloseChannel>(message)) {
    if (upstream) upstream(std::move(message));
    upstream = nullptr;
    closed = true;
    timer.cancel();
    return;
  }
  if (upstream && (sent || !in_progress)) return upstream(std::move(message));
  if (std::holds_alternative<StatementData>(message)) {
    queued.push_back(std::move(message));
  } else if (std::holds_alternative<CancelStatement>(message) && in_progress) {
    Refuse("57014", "statement canceled before it ran", "");
  }
}

void ChannelRouter::Route::StartStatement(Statement statement) {
  in_progress = true;
  sent = false;
  may_write = !IsRead(statement);
  number = statement.number;
  queued.clear();
  Duration wait =
      statement.deadline > Millis(0) ? statement.deadline : kOwnerWaitTimeout;
  owner_deadline = Now() + wait;
  retryable = std::move(statement);
  Dispatch();
}

void ChannelRouter::Route::Dispatch() {
  if (!upstream && !Connect()) return WaitForOwner();
  Duration left = owner_deadline - Now();
  if (retryable->deadline > Millis(0)) retryable->deadline = left;
  sent = true;
  bool can_retry = retryable->complete &&
                   retryable->bytes.size() <= kMaxRetryableBytes &&
                   transaction_status == 'I';
  if (can_retry) {
    upstream(*retryable);
  } else {
    Statement statement = std::move(*retryable);
    retryable.reset();
    upstream(std::move(statement));
  }
  std::vector<ToOwner> later = std::move(queued);
  queued.clear();
  for (ToOwner& message : later) upstream(std::move(message));
}

bool ChannelRouter::Route::Connect() {
  std::optional<OwnerLocation> location =
      FindOwner(router->params_.view(), open.group);
  if (!location) return false;
  owner = *location;
  uint64_t this_upstream = ++upstream_number;
  std::weak_ptr<Route> weak = weak_from_this();
  FromOwnerSink from_owner = [weak, this_upstream](FromOwner message) {
    std::shared_ptr<Route> route = weak.lock();
    if (route) route->OnOwnerMessage(this_upstream, std::move(message));
  };
  bool local = owner.vm == router->params_.vm;
  upstream = local ? router->params_.open_local(open, std::move(from_owner))
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

void ChannelRouter::Route::CloseUpstream() {
  if (upstream) upstream(CloseChannel{});
  upstream = nullptr;
  ++upstream_number;
}

void ChannelRouter::Route::OnOwnerMessage(uint64_t from_upstream,
                                          FromOwner message) {
  if (closed || from_upstream != upstream_number) return;
  if (ChannelReset* reset = std::get_if<ChannelReset>(&message)) {
    return OnReset(*reset);
  }
  if (std::holds_alternative<AnswerData>(message)) retryable.reset();
  if (StatementEnd* end = std::get_if<StatementEnd>(&message)) {
    if (end->floor) open.floor = end->floor;
    transaction_status = end->transaction_status;
    in_progress = false;
    sent = false;
    retryable.reset();
  }
  sink(std::move(message));
}

void ChannelRouter::Route::OnReset(const ChannelReset& reset) {
  upstream = nullptr;
  ++upstream_number;
  if (!in_progress && transaction_status == 'I') return;
  bool certainly_not_run = reset.sent_nothing || !may_write;
  if (in_progress && retryable && certainly_not_run) {
    sent = false;
    return WaitForOwner();
  }
  closed = true;
  sink(ChannelReset{reset.sent_nothing && in_progress, reset.reason});
}

void ChannelRouter::Route::WaitForOwner() {
  Duration left = owner_deadline - Now();
  if (left < kMinTimeLeft) {
    return Refuse("57P03", "no VM owns group " + open.group.value() + " now",
                  "the statement was not run; retry, and check "
                  "`cardamomchute status`");
  }
  Duration pause = left < kOwnerRetryInterval ? left : kOwnerRetryInterval;
  timer.expires_after(std::chrono::milliseconds(pause.ms()));
  std::weak_ptr<Route> weak = weak_from_this();
  timer.async_wait([weak](error_code error) {
    std::shared_ptr<Route> route = weak.lock();
    if (error || !route || route->closed) return;
    if (route->in_progress && !route->sent) route->Dispatch();
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
  in_progress = false;
  retryable.reset();
  queued.clear();
  timer.cancel();
  // Posted, since this may run inside a call from the sink's owner.
  std::shared_ptr<Route> self = shared_from_this();
  asio::post(*router->params_.thread, [self, end] {
    if (!self->closed) self->sink(end);
  });
}

void ChannelRouter::Route::OnView() {
  if (closed) return;
  if (in_progress && !sent) return Dispatch();
  if (in_progress || transaction_status != 'I' || !upstream) return;
  std::optional<OwnerLocation> location =
      FindOwner(router->params_.view(), open.group);
  bool moved =
      !location || location->vm != owner.vm || location->epoch != owner.epoch;
  if (moved) CloseUpstream();
}

ChannelRouter::ChannelRouter(RouterParams params)
    : params_(std::move(params)) {}

ToOwnerSink ChannelRouter::Open(const OpenChannel& open, FromOwnerSink sink) {
  std::shared_ptr<Route> route = std::make_shared<Route>(
      shared_from_this(), next_route_++, open, std::move(sink));
  routes_[route->id] = route;
  return
      [route](ToOwner message) { route->OnCallerMessage(std::move(message)); };
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
          bool closed = std::holds_alternative<ChannelReset>(message);
          FromOwnerSink to_caller = bridge->sink;
          if (closed) bridge->sink = nullptr;
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
