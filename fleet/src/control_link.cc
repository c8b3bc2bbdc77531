#include "cardamomchute/fleet/control_link.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/policy/quorum/control_choice.h"
#include "cardamomchute/policy/routing/dial_backoff.h"

namespace cardamomchute {
namespace {

constexpr Duration kTick = Millis(100);
constexpr Duration kReportInterval = Seconds(2);
constexpr Duration kDialTimeout = Millis(250);
/// Spreads consecutive values of a hash.
constexpr uint64_t kHashPrime = 0x9E3779B97F4A7C15ULL;
/// Time on a member before the first check whether another one is preferred.
constexpr Duration kFirstReview = Seconds(3);
constexpr Duration kReviewInterval = Seconds(20);
/// Time for the preferred member to serve this relay.
constexpr Duration kMoveTimeout = Seconds(1);
constexpr LinkTiming kTiming = {Millis(400), Millis(1600)};

}  // namespace

ControlLink::ControlLink(ControlLinkParams params)
    : params_(std::move(params)), timer_(*params_.io), run_ms_(WallClockMs()) {}

void ControlLink::Start() { Tick(); }

void ControlLink::Tick() {
  if (stopped_) return;
  Time now = Now();
  if (link_ && now >= next_report_) SendReport();
  ReviewMember(now);
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
  std::vector<Address> candidates = RankMembers(params_.vm, members_);
  for (const Address& seed : RankMembers(params_.vm, params_.seeds())) {
    bool known = std::find(candidates.begin(), candidates.end(), seed) !=
                 candidates.end();
    if (!known) candidates.push_back(seed);
  }
  if (candidates.empty()) return;
  next_dial_ = Now() + kDialDelayMin;
  Connect(candidates[next_member_++ % candidates.size()],
          &ControlLink::OnDialled);
}

void ControlLink::Connect(const Address& address,
                          void (ControlLink::*done)(const Address&, LinkPtr)) {
  dialling_ = true;
  std::weak_ptr<ControlLink> weak = weak_from_this();
  ConnectLink(
      params_.io->get_executor(), address, kDialTimeout,
      [weak, address, done](LinkPtr link) {
        std::shared_ptr<ControlLink> self = weak.lock();
        if (!self || self->stopped_) {
          if (link) link->Close();
          return;
        }
        self->dialling_ = false;
        (self.get()->*done)(address, std::move(link));
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

void ControlLink::OnDialled(const Address& address, LinkPtr link) {
  if (!link) return RecordFailure();
  if (link_) return link->Close();  // the preferred member serves this relay
  link_ = std::move(link);
  member_ = address;
  next_review_ = SpreadAfter(kFirstReview);
  LogLine(LogLevel::kInfo, "control_link_up")
      .Field("member", ToString(address));
  StartLink(link_);
  SendReport();
  params_.on_link();
}

/// Connects to the preferred member if another one serves this relay.
void ControlLink::ReviewMember(Time now) {
  if (preferred_link_ && now >= preferred_until_)
    return DropPreferred("the member does not serve this relay");
  bool due = link_ && !preferred_link_ && !dialling_ && now >= next_review_;
  if (!due || members_.empty() || draining_) return;
  next_review_ = SpreadAfter(kReviewInterval);
  Address best = RankMembers(params_.vm, members_).front();
  if (best != member_) Connect(best, &ControlLink::OnPreferredDialled);
}

void ControlLink::OnPreferredDialled(const Address& address, LinkPtr link) {
  if (!link) return;
  preferred_link_ = std::move(link);
  preferred_ = address;
  preferred_until_ = Now() + kMoveTimeout;
  StartLink(preferred_link_);
  preferred_link_->Send(FrameType::kControl, PackFleetMessage(MakeReport()));
}

void ControlLink::MoveToPreferred() {
  LogLine(LogLevel::kInfo, "control_link_moved")
      .Field("from", ToString(member_))
      .Field("member", ToString(preferred_));
  if (link_) link_->Close();
  link_ = std::exchange(preferred_link_, nullptr);
  member_ = preferred_;
  next_member_ = 1;
  params_.on_link();
}

void ControlLink::DropPreferred(const std::string& reason) {
  LogLine(LogLevel::kInfo, "control_link_kept")
      .Field("member", ToString(member_))
      .Field("preferred", ToString(preferred_))
      .Field("reason", reason);
  preferred_link_->Close();
  preferred_link_ = nullptr;
}

void ControlLink::StartLink(const LinkPtr& link) {
  std::weak_ptr<ControlLink> weak = weak_from_this();
  std::weak_ptr<Link> weak_link = link;
  link->Start(
      [weak, weak_link](FrameType type, std::string_view body) {
        std::shared_ptr<ControlLink> self = weak.lock();
        LinkPtr from = weak_link.lock();
        if (self && from && type == FrameType::kControl)
          self->OnFrame(from, body);
      },
      [weak, weak_link](const std::string& reason) {
        std::shared_ptr<ControlLink> self = weak.lock();
        LinkPtr lost = weak_link.lock();
        if (self && lost) self->OnLost(lost, reason);
      });
}

/// Differs between relays, and between values of `salt`.
uint64_t ControlLink::Random(uint64_t salt) const {
  uint64_t hash = std::hash<std::string>()(params_.vm.value()) + salt;
  return hash * kHashPrime >> 33;
}

/// Returns a time from now, up to twice `delay` from now, so that relays do not
/// act together.
Time ControlLink::SpreadAfter(Duration delay) const {
  uint64_t extra = Random(sequence_) % static_cast<uint64_t>(delay.ms());
  return Now() + delay + Millis(static_cast<int64_t>(extra));
}

/// Delays the next attempt, and longer after each failure in a row.
void ControlLink::RecordFailure() {
  ++failures_;
  next_dial_ = Now() + DialDelay(failures_, Random(failures_));
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

void ControlLink::OnFrame(const LinkPtr& link, std::string_view body) {
  Result<FleetMessage> message = UnpackFleetMessage(body);
  if (!message) return OnLost(link, ToString(message.error()));
  auto* push = std::get_if<DirectoryPush>(&message.value());
  if (link == preferred_link_) {
    if (push == nullptr)
      return DropPreferred("the member has lost contact with the quorum");
    MoveToPreferred();
  }
  if (link != link_) return;
  if (push != nullptr) return OnPush(std::move(*push));
  if (const auto* grant = std::get_if<PrimaryLeaseGrant>(&message.value()))
    return params_.on_lease(*grant);
  if (const auto* authority = std::get_if<AuthorityGrant>(&message.value()))
    return params_.on_authority(*authority);
  if (const auto* revoked = std::get_if<LeaseRevocation>(&message.value()))
    return OnRevocation(link, *revoked);
  if (const auto* farewell = std::get_if<Farewell>(&message.value())) {
    if (!farewell->members.empty()) members_ = farewell->members;
    Lose("the control member lost contact with the quorum");
  }
}

/// If the first record of this VM that control sends is newer than this
/// process's own reports, it is of an earlier process, which started while the
/// wall clock was ahead. Reports would be taken for older ones until that
/// record is forgotten. Later records may be of a process that replaced this
/// one.
void ControlLink::OutrunEarlierProcess(const std::vector<RelayRecord>& relays) {
  for (const RelayRecord& record : relays) {
    if (record.vm != params_.vm || knows_own_record_) continue;
    knows_own_record_ = true;
    if (record.started_ms <= run_ms_) continue;
    LogLine(LogLevel::kInfo, "wall_clock_went_back")
        .Field("earlier_start_ms", record.started_ms)
        .Field("start_ms", run_ms_);
    run_ms_ = record.started_ms + 1;
    SendReport();
  }
}

void ControlLink::OnPush(DirectoryPush push) {
  OutrunEarlierProcess(push.delta.relays);
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

/// Confirms on the same link only: the member at its other end waits for it.
void ControlLink::OnRevocation(const LinkPtr& link,
                               const LeaseRevocation& revocation) {
  std::weak_ptr<ControlLink> weak = weak_from_this();
  std::weak_ptr<Link> weak_link = link;
  params_.on_revocation(revocation.group, [weak, weak_link, revocation] {
    std::shared_ptr<ControlLink> self = weak.lock();
    LinkPtr from = weak_link.lock();
    if (!self || !from || from != self->link_) return;
    from->Send(FrameType::kControl,
               PackFleetMessage(LeaseRevoked{
                   revocation.group, revocation.number, self->params_.vm}));
  });
}

void ControlLink::OnLost(const LinkPtr& link, const std::string& reason) {
  if (link == preferred_link_) return DropPreferred(reason);
  if (link == link_) Lose(reason);
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

void ControlLink::RequestLeases(PrimaryLeaseRequest request) {
  if (!link_) return;
  request.takes_revocations = true;
  link_->Send(FrameType::kControl, PackFleetMessage(request));
}

void ControlLink::RequestAuthority(const AuthorityRequest& request) {
  if (!link_) return;
  link_->Send(FrameType::kControl, PackFleetMessage(request));
}

void ControlLink::Stop() {
  stopped_ = true;
  timer_.cancel();
  for (const LinkPtr& link : {link_, preferred_link_}) {
    if (link) link->Close();
  }
  link_ = nullptr;
  preferred_link_ = nullptr;
}

}  // namespace cardamomchute
