#include "cardamomchute/relay/relay_mesh.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "cardamomchute/base/log.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Links carry no heartbeats worth mentioning while nothing is under way;
/// with answers due, `Ping` shows much sooner whether the other end lives.
constexpr LinkTiming kTiming = {Seconds(5), Seconds(15)};
constexpr Duration kDialTimeout = Millis(250);
constexpr Duration kWatch = Millis(100);
/// With answers due: silence before a ping, and before the link is given up.
constexpr Duration kPingAfter = Millis(200);
constexpr Duration kLostAfter = Millis(600);
constexpr Duration kAvoid = Millis(1000);

std::string PackMessage(const RelayMessage& message) {
  return PackVariant(message);
}

}  // namespace

RelayMesh::RelayMesh(asio::io_context* io, VmId self, MeshHandlers handlers)
    : io_(io),
      self_(std::move(self)),
      handlers_(std::move(handlers)),
      listener_(std::make_shared<TcpListener>(io)),
      timer_(*io) {}

Status RelayMesh::Listen(const Address& address) {
  BOOST_OUTCOME_TRYV(listener_->Open(address, "listen.peers"));
  std::weak_ptr<RelayMesh> weak = weak_from_this();
  listener_->Start([weak](tcp::socket socket) {
    std::shared_ptr<RelayMesh> self = weak.lock();
    if (self) self->TakeConnection(std::move(socket));
  });
  return Ok();
}

void RelayMesh::TakeConnection(tcp::socket socket) {
  LinkPtr link = std::make_shared<Link>(std::move(socket), kTiming);
  inbound_[link.get()] = Inbound{link, RelayLink{VmId(), ++next_inbound_}};
  std::weak_ptr<RelayMesh> weak = weak_from_this();
  std::weak_ptr<Link> weak_link = link;
  link->Start(
      [weak, weak_link](FrameType type, std::string_view body) {
        std::shared_ptr<RelayMesh> self = weak.lock();
        LinkPtr from = weak_link.lock();
        if (self && from && type == FrameType::kRelay)
          self->OnInbound(from, body);
      },
      [weak, weak_link](const std::string&) {
        std::shared_ptr<RelayMesh> self = weak.lock();
        LinkPtr lost = weak_link.lock();
        if (self && lost) self->LoseInbound(lost);
      });
}

void RelayMesh::LoseInbound(const LinkPtr& link) {
  auto inbound = inbound_.find(link.get());
  if (inbound == inbound_.end()) return;
  RelayLink from = inbound->second.from;
  inbound_.erase(inbound);
  link->Close();
  if (handlers_.on_gone) handlers_.on_gone(from);
}

/// A VM has one link to another: earlier ones are dead, if silently.
void RelayMesh::TakeHello(const LinkPtr& link, const RelayHello& hello) {
  std::vector<LinkPtr> dead;
  for (const auto& [key, other] : inbound_) {
    if (other.from.relay == hello.vm && key != link.get())
      dead.push_back(other.link);
  }
  for (const LinkPtr& old : dead) LoseInbound(old);
  inbound_.at(link.get()).from.relay = hello.vm;
}

void RelayMesh::OnInbound(const LinkPtr& link, std::string_view body) {
  auto inbound = inbound_.find(link.get());
  if (inbound == inbound_.end()) return;
  Result<RelayMessage> read = UnpackVariant<RelayMessage>(body);
  if (!read) {
    LogLine(LogLevel::kWarn, "relay_message_refused")
        .Field("from", link->remote())
        .Field("error", ToString(read.error()));
    return LoseInbound(link);
  }
  RelayMessage& message = read.value();
  const RelayLink from = inbound->second.from;
  std::weak_ptr<Link> weak = link;
  if (auto* hello = std::get_if<RelayHello>(&message)) {
    TakeHello(link, *hello);
  } else if (auto* run = std::get_if<RunRequest>(&message)) {
    handlers_.on_run(from, std::move(*run), [weak](RunAnswer answer) {
      LinkPtr to = weak.lock();
      if (to) to->Send(FrameType::kRelay, PackMessage(std::move(answer)));
    });
  } else if (auto* abandon = std::get_if<AbandonRun>(&message)) {
    handlers_.on_abandon(from, *abandon);
  } else if (auto* question = std::get_if<FloorQuestion>(&message)) {
    uint64_t number = question->number;
    handlers_.on_floor(*question, [weak, number](FloorAnswer answer) {
      answer.number = number;
      LinkPtr to = weak.lock();
      if (to) to->Send(FrameType::kRelay, PackMessage(answer));
    });
  } else if (auto* tokens = std::get_if<TokenQuestion>(&message)) {
    TokenAnswer answer;
    answer.not_keeper = true;
    if (handlers_.on_token) answer = handlers_.on_token(*tokens);
    answer.number = tokens->number;
    link->Send(FrameType::kRelay, PackMessage(answer));
  } else if (auto* hint = std::get_if<ControlHint>(&message)) {
    if (handlers_.on_control_hint) handlers_.on_control_hint(*hint);
  } else if (std::get_if<Ping>(&message) != nullptr) {
    link->Send(FrameType::kRelay, PackMessage(Ping{true}));
  }
}

void RelayMesh::SendTo(const Address& to, Peer* peer, std::string message) {
  if (peer->link) {
    peer->link->Send(FrameType::kRelay, std::move(message));
    return;
  }
  peer->queued.push_back(std::move(message));
  if (!peer->dialling) Dial(to, peer);
}

void RelayMesh::Run(const Address& to, RunRequest request, bool wrote,
                    RunDone done) {
  Peer& peer = peers_[to];
  uint64_t number = ++next_number_;
  request.number = number;
  std::string message = PackMessage(request);
  request.text.clear();
  request.values.clear();
  if (!peer.Waits()) peer.waiting_since = Now();
  peer.outstanding[number] = Outstanding{std::move(request), wrote,
                                         peer.link != nullptr, std::move(done)};
  SendTo(to, &peer, std::move(message));
  ScheduleWatch();
}

void RelayMesh::Abandon(const Address& to, const AbandonRun& abandon) {
  auto peer = peers_.find(to);
  bool linked = peer != peers_.end() &&
                (peer->second.link != nullptr || peer->second.dialling);
  if (linked) SendTo(to, &peer->second, PackMessage(abandon));
}

void RelayMesh::AskFloor(const Address& to, FloorQuestion question,
                         std::function<void(std::optional<FloorAnswer>)> done) {
  Peer& peer = peers_[to];
  question.number = ++next_number_;
  if (!peer.Waits()) peer.waiting_since = Now();
  peer.questions[question.number] = Question{std::move(done)};
  SendTo(to, &peer, PackMessage(question));
  ScheduleWatch();
}

void RelayMesh::AskTokens(
    const Address& to, TokenQuestion question,
    std::function<void(std::optional<TokenAnswer>)> done) {
  Peer& peer = peers_[to];
  if (!peer.Waits()) peer.waiting_since = Now();
  // The caller's number is its own.
  question.number = ++next_number_;
  peer.token_questions[question.number] = std::move(done);
  SendTo(to, &peer, PackMessage(question));
  ScheduleWatch();
}

bool RelayMesh::Avoided(const Address& to) const {
  auto peer = peers_.find(to);
  return peer != peers_.end() && Now() < peer->second.avoid_until;
}

void RelayMesh::Dial(const Address& to, Peer* peer) {
  peer->dialling = true;
  std::weak_ptr<RelayMesh> weak = weak_from_this();
  ConnectLink(
      io_->get_executor(), to, kDialTimeout,
      [weak, to](LinkPtr link) {
        std::shared_ptr<RelayMesh> self = weak.lock();
        if (self) return self->OnDialled(to, std::move(link));
        if (link) link->Close();
      },
      kTiming);
}

void RelayMesh::OnDialled(const Address& to, LinkPtr link) {
  Peer& peer = peers_[to];
  peer.dialling = false;
  if (closed_) {
    if (link) link->Close();
    return;
  }
  if (!link) return LosePeer(to, "no connection");
  peer.link = link;
  peer.waiting_since = Now();
  std::weak_ptr<RelayMesh> weak = weak_from_this();
  link->Start(
      [weak, to](FrameType type, std::string_view body) {
        std::shared_ptr<RelayMesh> self = weak.lock();
        if (self && type == FrameType::kRelay) self->OnOutbound(to, body);
      },
      [weak, to](const std::string& reason) {
        std::shared_ptr<RelayMesh> self = weak.lock();
        if (self) self->LosePeer(to, reason);
      });
  link->Send(FrameType::kRelay, PackMessage(RelayHello{self_}));
  std::vector<std::string> queued = std::exchange(peer.queued, {});
  for (auto& [number, outstanding] : peer.outstanding) outstanding.sent = true;
  for (std::string& message : queued)
    link->Send(FrameType::kRelay, std::move(message));
}

void RelayMesh::OnOutbound(const Address& from, std::string_view body) {
  auto it = peers_.find(from);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  Result<RelayMessage> read = UnpackVariant<RelayMessage>(body);
  if (!read) return LosePeer(from, ToString(read.error()));
  if (auto* answer = std::get_if<RunAnswer>(&read.value())) {
    auto outstanding = peer.outstanding.find(answer->number);
    if (outstanding == peer.outstanding.end()) return;
    RunDone done = std::move(outstanding->second.done);
    peer.outstanding.erase(outstanding);
    done(std::move(*answer));
  } else if (auto* floor = std::get_if<FloorAnswer>(&read.value())) {
    auto question = peer.questions.find(floor->number);
    if (question == peer.questions.end()) return;
    std::function<void(std::optional<FloorAnswer>)> done =
        std::move(question->second.done);
    peer.questions.erase(question);
    done(*floor);
  } else if (auto* tokens = std::get_if<TokenAnswer>(&read.value())) {
    auto question = peer.token_questions.find(tokens->number);
    if (question == peer.token_questions.end()) return;
    std::function<void(std::optional<TokenAnswer>)> done =
        std::move(question->second);
    peer.token_questions.erase(question);
    done(*tokens);
  }
}

void RelayMesh::LosePeer(const Address& to, const std::string& reason) {
  Peer& peer = peers_[to];
  if (peer.link) peer.link->Close();
  peer.link = nullptr;
  peer.queued.clear();
  peer.avoid_until = Now() + kAvoid;
  std::map<uint64_t, Outstanding> lost = std::exchange(peer.outstanding, {});
  std::map<uint64_t, Question> questions = std::exchange(peer.questions, {});
  std::map<uint64_t, std::function<void(std::optional<TokenAnswer>)>> tokens =
      std::exchange(peer.token_questions, {});
  LogLine(LogLevel::kInfo, "relay_link_lost")
      .Field("to", ToString(to))
      .Field("reason", reason)
      .Field("under_way", lost.size());
  for (auto& [number, item] : lost) {
    RunAnswer answer;
    answer.number = number;
    answer.outcome = WithoutAnswer(item.request, item.sent, item.wrote,
                                   StatementStatus::kUnknown);
    answer.detail = "link to the endpoint's holder lost";
    item.done(std::move(answer));
  }
  for (auto& [number, question] : questions) question.done(std::nullopt);
  for (auto& [number, done] : tokens) done(std::nullopt);
}

/// Watches only while answers are due.
void RelayMesh::ScheduleWatch() {
  if (watching_ || closed_) return;
  watching_ = true;
  timer_.expires_after(std::chrono::milliseconds(kWatch.ms()));
  std::weak_ptr<RelayMesh> weak = weak_from_this();
  timer_.async_wait([weak](error_code cancelled) {
    std::shared_ptr<RelayMesh> self = weak.lock();
    if (!self || cancelled || self->closed_) return;
    self->watching_ = false;
    self->Watch();
  });
}

void RelayMesh::Watch() {
  Time now = Now();
  std::vector<Address> lost;
  bool due = false;
  for (auto& [to, peer] : peers_) {
    if (!peer.Waits()) continue;
    due = true;
    if (!peer.link) continue;
    Time heard = std::max(peer.link->last_read(), peer.waiting_since);
    if (now - heard > kLostAfter) {
      lost.push_back(to);
    } else if (now - heard > kPingAfter && now - peer.pinged > kPingAfter) {
      peer.pinged = now;
      peer.link->Send(FrameType::kRelay, PackMessage(Ping{}));
    }
  }
  for (const Address& to : lost) LosePeer(to, "no answer to a ping");
  if (due) ScheduleWatch();
}

void RelayMesh::Close() {
  closed_ = true;
  listener_->Close();
  timer_.cancel();
  for (auto& [to, peer] : peers_) {
    if (peer.link) peer.link->Close();
  }
  for (auto& [key, inbound] : inbound_) inbound.link->Close();
  peers_.clear();
  inbound_.clear();
}

}  // namespace cardamomchute
