#include "cardamomchute/peers/control_agent.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <random>

#include "cardamomchute/base/log.h"
#include "cardamomchute/peers/link.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;

constexpr Duration kTick = Millis(25);
constexpr Duration kConnectTimeout = Millis(500);
constexpr Duration kConnectInterval = Millis(50);
/// Without a grant for this long another member is tried. Short enough that
/// the lease outlives the search for a new leader in most cases.
constexpr Duration kGrantPatience = Millis(600);
/// Renewals while the member does not lead.
constexpr Duration kRetryInterval = Millis(100);
constexpr Duration kHelloRetry = Seconds(1);
constexpr Duration kCallDeadline = Seconds(10);
constexpr size_t kMaxOpenRenewals = 64;
constexpr size_t kMaxAnnouncementsPerRenewal = 1000;

uint64_t RandomNumber() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) ^ device();
}

}  // namespace

ControlAgent::ControlAgent(asio::io_context& io, ControlAgentSettings settings,
                           DocumentReader read)
    : io_(io),
      settings_(std::move(settings)),
      read_(std::move(read)),
      incarnation_(RandomNumber()),
      timer_(io) {
  records_.environment = settings_.environment;
  if (!settings_.seeds.empty()) {
    next_seed_ = RandomNumber() % settings_.seeds.size();
  }
}

ControlAgent::~ControlAgent() = default;

void ControlAgent::Start() { Tick(); }

void ControlAgent::Stop() {
  stopped_ = true;
  timer_.cancel();
  if (link_) link_->Close();
  link_ = nullptr;
  calls_.clear();
}

bool ControlAgent::Ready() const { return granted_ && records_.document; }

std::optional<Address> ControlAgent::connected_to() const {
  return link_ ? target_ : std::nullopt;
}

void ControlAgent::SetDraining(bool draining) {
  std::shared_ptr<ControlAgent> self = shared_from_this();
  asio::dispatch(io_, [self, draining] {
    self->draining_ = draining;
    self->next_renewal_ = Now();
  });
}

// ---- the link ------------------------------------------------------------

void ControlAgent::ScheduleTick() {
  timer_.expires_after(std::chrono::milliseconds(kTick.ms()));
  std::shared_ptr<ControlAgent> self = shared_from_this();
  timer_.async_wait([self](boost::system::error_code error) {
    if (!error && !self->stopped_) self->Tick();
  });
}

void ControlAgent::Tick() {
  Time now = Now();
  bool silent = link_ && now - last_grant_ >= kGrantPatience;
  if (silent) Disconnect("no lease granted");
  bool connect = !link_ && !connecting_ && now >= next_connect_;
  if (connect) Connect(now);
  bool greet = link_ && next_hello_ && now >= *next_hello_;
  if (greet) SendHello();
  if (link_ && now >= next_renewal_) SendRenewal(now);
  ExpireCalls(now);
  ResendCalls(now);
  ScheduleTick();
}

Address ControlAgent::NextTarget() {
  if (leader_) {
    Address leader = *leader_;
    leader_.reset();
    return leader;
  }
  const ControlSeed& seed =
      settings_.seeds[next_seed_ % settings_.seeds.size()];
  ++next_seed_;
  return seed.address;
}

void ControlAgent::Connect(Time now) {
  if (settings_.seeds.empty()) return;
  connecting_ = true;
  next_connect_ = now + kConnectInterval;
  Address address = NextTarget();
  target_ = address;
  std::weak_ptr<ControlAgent> weak = weak_from_this();
  ConnectLink(io_.get_executor(), address, kConnectTimeout,
              [weak, address](LinkPtr link) {
                std::shared_ptr<ControlAgent> self = weak.lock();
                if (self && !self->stopped_) {
                  return self->OnConnected(address, link);
                }
                if (link) link->Close();
              });
}

void ControlAgent::OnConnected(const Address& address, LinkPtr link) {
  connecting_ = false;
  if (!link) return;
  link_ = link;
  Time now = Now();
  last_grant_ = now;
  std::weak_ptr<ControlAgent> weak = weak_from_this();
  std::weak_ptr<Link> weak_link = link;
  link->Start(
      [weak, weak_link](FrameType type, std::string_view body) {
        std::shared_ptr<ControlAgent> self = weak.lock();
        LinkPtr from = weak_link.lock();
        bool current = self && from && self->link_ == from;
        if (current && type == FrameType::kControl) self->OnFrame(from, body);
      },
      [weak, weak_link](const std::string& reason) {
        std::shared_ptr<ControlAgent> self = weak.lock();
        bool current = self && self->link_ == weak_link.lock();
        if (current) self->Disconnect(reason);
      });
  SendHello();
  SendRenewal(now);
  for (auto& [id, call] : calls_) call.resend = now;
  ResendCalls(now);
}

void ControlAgent::Disconnect(const std::string& reason) {
  if (!link_) return;
  LogLine(LogLevel::kInfo, "control_link_lost")
      .Field("member", ToString(*target_))
      .Field("reason", reason);
  link_->Close();
  link_ = nullptr;
}

void ControlAgent::SendHello() {
  next_hello_.reset();
  AgentHello hello{settings_.vm, settings_.environment, records_.revision};
  link_->Send(FrameType::kControl, PackVariant(ControlMessage(hello)));
}

void ControlAgent::OnFrame(const LinkPtr& link, std::string_view body) {
  Result<ControlMessage> message = UnpackVariant<ControlMessage>(body);
  if (!message) return Disconnect(ToString(message.error()));
  const ControlMessage& m = message.value();
  if (const auto* granted = std::get_if<Granted>(&m)) {
    return OnGranted(*granted);
  }
  if (const auto* redirect = std::get_if<Redirect>(&m)) {
    return OnRedirect(*redirect);
  }
  if (const auto* push = std::get_if<ViewPush>(&m)) return OnViewPush(*push);
  if (const auto* push = std::get_if<SoftPush>(&m)) return OnSoftPush(*push);
  if (const auto* answer = std::get_if<CallAnswer>(&m)) OnCallAnswer(*answer);
}

void ControlAgent::OnRedirect(const Redirect& redirect) {
  Time now = Now();
  for (auto& [id, call] : calls_) call.resend = now + kRetryInterval;
  next_renewal_ = std::min(next_renewal_, now + kRetryInterval);
  bool elsewhere = !redirect.leader.empty() && redirect.address != *target_;
  if (!elsewhere) return;
  leader_ = redirect.address;
  Disconnect("redirected to " + redirect.leader.value());
  next_connect_ = now;
  if (!connecting_) Connect(now);
}

// ---- the lease -----------------------------------------------------------

std::vector<SoftAnnouncement> ControlAgent::TakeAnnouncements(
    SentRenewal& renewal, Time now) {
  std::vector<SoftAnnouncement> list;
  std::erase_if(announcements_,
                [now](const auto& item) { return now >= item.second.expires; });
  for (const auto& [id, held] : announcements_) {
    if (held.unsent == 0) continue;
    if (list.size() == kMaxAnnouncementsPerRenewal) break;
    list.push_back(SoftAnnouncement{held.endpoint, held.expires - now});
    renewal.announcements[id] = held.unsent;
  }
  return list;
}

void ControlAgent::SendRenewal(Time now) {
  next_renewal_ = now + kRenewInterval;
  Renew renew;
  renew.nonce = ++last_nonce_;
  SentRenewal sent{now, {}};
  renew.announcements = TakeAnnouncements(sent, now);
  ViewPtr view = views_.Get();
  Version applied =
      view && view->document ? view->document->version : Version();
  Revision known = view ? view->revision : Revision();
  renew.report = VmReport{settings_.vm,
                          incarnation_,
                          settings_.environment,
                          settings_.zone,
                          settings_.peer_address,
                          applied,
                          known,
                          draining_};
  renewals_[renew.nonce] = std::move(sent);
  if (renewals_.size() > kMaxOpenRenewals) renewals_.erase(renewals_.begin());
  link_->Send(FrameType::kControl, PackVariant(ControlMessage(renew)));
}

void ControlAgent::OnGranted(const Granted& granted) {
  auto it = renewals_.find(granted.nonce);
  if (it == renewals_.end()) return;
  last_grant_ = Now();
  lease_.ExtendTo(LeaseEnd(it->second.sent, granted.lease));
  for (const auto& [id, change] : it->second.announcements) {
    auto held = announcements_.find(id);
    bool unchanged =
        held != announcements_.end() && held->second.unsent == change;
    if (unchanged) held->second.unsent = 0;
  }
  renewals_.erase(renewals_.begin(), std::next(it));
  bool new_leader = granted.reign != reign_;
  if (new_leader) {
    reign_ = granted.reign;
    for (auto& [id, held] : announcements_) ++held.unsent;
    next_renewal_ = Now();
  }
  if (!granted_) {
    LogLine(LogLevel::kInfo, "lease_first_granted")
        .Field("revision", records_.revision);
  }
  granted_ = true;
}

AnnounceSink ControlAgent::announcements() {
  std::weak_ptr<ControlAgent> weak = weak_from_this();
  return [weak](const Announcement& announcement) {
    std::shared_ptr<ControlAgent> self = weak.lock();
    if (!self) return;
    asio::dispatch(self->io_,
                   [self, announcement] { self->Announce(announcement); });
  };
}

void ControlAgent::Announce(const Announcement& announcement) {
  const EndpointState& state = announcement.endpoint;
  SoftEndpoint endpoint{state.id, state.group, state.address, state.zone,
                        state.leaving};
  auto [it, inserted] = announcements_.try_emplace(state.id);
  HeldAnnouncement& held = it->second;
  bool changed = inserted || held.endpoint != endpoint;
  held.endpoint = endpoint;
  held.expires = Now() + std::min(announcement.ttl, kMaxAnnouncementTtl);
  ++held.unsent;
  if (changed) next_renewal_ = Now();
}

// ---- the view ------------------------------------------------------------

void ControlAgent::OnViewPush(const ViewPush& push) {
  Result<bool> taken = ApplyDelta(records_, push.delta, read_);
  if (!taken) {
    LogLine(LogLevel::kWarn, "view_push_refused")
        .Field("error", ToString(taken.error()));
    next_hello_ = Now() + kHelloRetry;
  }
  SchedulePublish();
}

void ControlAgent::OnSoftPush(const SoftPush& push) {
  if (push.delta.environment != settings_.environment) return;
  ApplySoftDelta(records_, push.delta);
  SchedulePublish();
}

/// Gathers pushes that arrive together into one view.
void ControlAgent::SchedulePublish() {
  if (publish_due_) return;
  publish_due_ = true;
  std::shared_ptr<ControlAgent> self = shared_from_this();
  asio::post(io_, [self] { self->Publish(); });
}

void ControlAgent::Publish() {
  if (!publish_due_ || stopped_) return;
  publish_due_ = false;
  ViewPtr before = views_.Get();
  ViewPtr view = std::make_shared<const ClusterView>(BuildView(records_));
  Version old_version =
      before && before->document ? before->document->version : Version();
  views_.Set(view);
  bool new_document = view->document && view->document->version > old_version;
  if (new_document) {
    LogLine(LogLevel::kInfo, "document_in_force")
        .Field("version", view->document->version)
        .Field("hash", view->document->hash);
  }
}

// ---- calls ---------------------------------------------------------------

void ControlAgent::StartCall(CallBody body, CallDone done) {
  std::shared_ptr<ControlAgent> self = shared_from_this();
  asio::dispatch(io_, [self, body = std::move(body), done = std::move(done)] {
    uint64_t id = ++self->last_call_;
    Time now = Now();
    PendingCall call;
    call.message = PackVariant(ControlMessage(Call{id, PackVariant(body)}));
    call.done = done;
    call.deadline = now + kCallDeadline;
    call.resend = now;
    self->calls_.emplace(id, std::move(call));
    self->ResendCalls(now);
  });
}

void ControlAgent::ResendCalls(Time now) {
  if (!link_) return;
  for (auto& [id, call] : calls_) {
    if (!call.resend || now < *call.resend) continue;
    call.resend.reset();
    link_->Send(FrameType::kControl, call.message);
  }
}

void ControlAgent::ExpireCalls(Time now) {
  std::vector<CallDone> expired;
  for (auto it = calls_.begin(); it != calls_.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    expired.push_back(std::move(it->second.done));
    it = calls_.erase(it);
  }
  for (const CallDone& done : expired) {
    done(Error{ErrorKind::kTimeout,
               "no control member answered in time; the request may have been "
               "accepted",
               "send the same request with the same id again"});
  }
}

void ControlAgent::OnCallAnswer(const CallAnswer& answer) {
  auto it = calls_.find(answer.id);
  if (it == calls_.end()) return;
  ErrorKind kind = static_cast<ErrorKind>(answer.error_kind);
  if (!answer.ok && kind == ErrorKind::kNotLeader) {
    it->second.resend = Now() + kRetryInterval;
    return;
  }
  CallDone done = std::move(it->second.done);
  calls_.erase(it);
  // The change is in the view that came before the answer.
  Publish();
  if (answer.ok) return done(answer.result);
  done(Error{kind, answer.message, answer.remedy});
}

}  // namespace cardamomchute
