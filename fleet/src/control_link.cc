#include "cardamomchute/fleet/control_link.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/policy/dial_backoff.h"

namespace cardamomchute {
namespace {

constexpr Duration kTick = Millis(100);
constexpr Duration kReportInterval = Seconds(2);
constexpr Duration kDialTimeout = Millis(250);
/// Spreads consecutive values of a hash.
constexpr uint64_t kHashPrime = 0x9E3779B97F4A7C15ULL;
constexpr LinkTiming kTiming = {Millis(400), Millis(1600)};

uint64_t WallClockMs() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

ControlLink::ControlLink(ControlLinkParams params)
    : params_(std::move(params)), timer_(*params_.io), run_ms_(WallClockMs()) {
  // The hash distributes relays over the control members.
  next_member_ = std::hash<std::string>()(params_.vm.value());
}

void ControlLink::Start() { Tick(); }

void ControlLink::Tick() {
  if (stopped_) return;
  Time now = Now();
  if (link_ && now >= next_report_) SendReport();
  if (!link_ && !dialling_ && now >= next_dial_) Dial();
  timer_.expires_after(std::chrono::milliseconds(kTick.ms()));
  std::weak_ptr<ControlLink> weak = weak_from_this();
  timer_.async_wait([weak](boost::system::error_code cancelled) {
    std::shared_ptr<ControlLink> self = weak.lock();
    if (self && !cancelled) self->Tick();
  });
}

/// Tries the members of the last push first, then the configured seeds.
void ControlLink::Dial() {
  std::vector<Address> candidates = members_;
  for (const Address& seed : params_.seeds()) {
    bool known = std::find(candidates.begin(), candidates.end(), seed) !=
                 candidates.end();
    if (!known) candidates.push_back(seed);
  }
  if (candidates.empty()) return;
  dialling_ = true;
  next_dial_ = Now() + kDialDelayMin;
  Address address = candidates[next_member_++ % candidates.size()];
  std::weak_ptr<ControlLink> weak = weak_from_this();
  ConnectLink(
      params_.io->get_executor(), address, kDialTimeout,
      [weak, address](std::shared_ptr<Link> link) {
        std::shared_ptr<ControlLink> self = weak.lock();
        if (self) return self->OnDialled(address, std::move(link));
        if (link) link->Close();
      },
      kTiming);
}

void ControlLink::AddMembers(const std::vector<Address>& members) {
  if (link_ || stopped_) return;
  for (const Address& member : members) {
    bool known =
        std::find(members_.begin(), members_.end(), member) != members_.end();
    if (!known) members_.push_back(member);
  }
  failures_ = 0;
  if (!dialling_) Dial();
}

void ControlLink::OnDialled(const Address& address,
                            std::shared_ptr<Link> link) {
  dialling_ = false;
  if (!link) return RecordFailure();
  if (stopped_) return link->Close();
  link_ = link;
  LogLine(LogLevel::kInfo, "control_link_up")
      .Field("member", ToString(address));
  std::weak_ptr<ControlLink> weak = weak_from_this();
  link->Start(
      [weak](FrameType type, std::string_view body) {
        std::shared_ptr<ControlLink> self = weak.lock();
        if (self && type == FrameType::kControl) self->OnFrame(body);
      },
      [weak](const std::string& reason) {
        std::shared_ptr<ControlLink> self = weak.lock();
        if (self) self->Lose(reason);
      });
  SendReport();
}

/// Delays the next attempt, and longer after each failure in a row.
void ControlLink::RecordFailure() {
  ++failures_;
  uint64_t random = std::hash<std::string>()(params_.vm.value()) + failures_;
  next_dial_ = Now() + DialDelay(failures_, random * kHashPrime >> 33);
}

RelayReport ControlLink::MakeReport() const {
  RelayReport report;
  report.relay.vm = params_.vm;
  report.relay.address = params_.peers;
  report.relay.zone = params_.zone;
  report.relay.draining = draining_;
  report.relay.started_ms = run_ms_;
  report.relay.sequence = sequence_;
  report.relay.slots_carried = params_.slots_carried;
  report.layout_version = confirmed_version_;
  report.takes_changes = true;
  return report;
}

void ControlLink::SendReport() {
  next_report_ = Now() + kReportInterval;
  ++sequence_;
  link_->Send(FrameType::kControl, PackFleetMessage(MakeReport()));
}

/// The report keeps its sequence number, as the relay itself has not changed.
void ControlLink::ConfirmLayout(uint64_t version) {
  confirmed_version_ = version;
  if (!link_) return;
  link_->Send(FrameType::kControl, PackFleetMessage(MakeReport()));
}

void ControlLink::OnFrame(std::string_view body) {
  Result<FleetMessage> message = UnpackFleetMessage(body);
  if (!message) return Lose(ToString(message.error()));
  if (auto* push = std::get_if<DirectoryPush>(&message.value()))
    return OnPush(std::move(*push));
  if (const auto* grant = std::get_if<PrimaryLeaseGrant>(&message.value()))
    return params_.on_lease(*grant);
  if (const auto* farewell = std::get_if<Farewell>(&message.value())) {
    if (!farewell->members.empty()) members_ = farewell->members;
    Lose("the control member lost contact with the quorum");
  }
}

void ControlLink::OnPush(DirectoryPush push) {
  if (!push.members.empty()) members_ = push.members;
  failures_ = 0;
  if (push.layout_change) {
    const LayoutChange& change = *push.layout_change;
    std::optional<std::string> text;
    if (change.from_version == layout_.version)
      text = ApplyTextDelta(layout_.text, change.text);
    // A new link starts with the whole layout.
    if (!text) return Lose("a layout change does not fit the layout held");
    push.layout = StoredLayout{change.version, std::move(*text)};
  }
  params_.on_push(push);
  bool taken = push.layout && push.layout->version == layout_version_;
  if (taken) layout_ = std::move(*push.layout);
}

void ControlLink::Lose(const std::string& reason) {
  if (!link_) return;
  LogLine(LogLevel::kInfo, "control_link_lost").Field("reason", reason);
  link_->Close();
  link_ = nullptr;
  RecordFailure();
}

void ControlLink::SetDraining() {
  draining_ = true;
  if (link_) SendReport();
}

void ControlLink::Report(const GroupId& group, const EndpointId& endpoint,
                         EndpointProblem trouble) {
  if (!link_) return;
  link_->Send(FrameType::kControl, PackFleetMessage(TroubleReport{
                                       group, endpoint, trouble, params_.vm}));
}

void ControlLink::RequestLeases(const PrimaryLeaseRequest& request) {
  if (!link_) return;
  link_->Send(FrameType::kControl, PackFleetMessage(request));
}

void ControlLink::Stop() {
  stopped_ = true;
  timer_.cancel();
  if (link_) link_->Close();
  link_ = nullptr;
}

}  // namespace cardamomchute
