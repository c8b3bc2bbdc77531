#include "cardamomchute/peers/control_member.h"

#include "agent_sessions.h"
#include "cardamomchute/base/log.h"
#include "control_leader.h"

namespace cardamomchute {
namespace {

/// Minimum interval between pushes of changes that affect statements.
constexpr Duration kUrgentPushInterval = Millis(20);

/// Minimum interval between pushes of other changes. Batches the registrations
/// when a whole fleet starts, which would otherwise be pushed one by one.
constexpr Duration kLazyPushInterval = Millis(200);

bool IsUrgent(const ControlCommand& command) {
  return !std::holds_alternative<RegisterVm>(command) &&
         !std::holds_alternative<ForgetVm>(command);
}

}  // namespace

Result<std::shared_ptr<ControlMember>> ControlMember::Open(
    boost::asio::io_context& io, ControlMemberSettings settings,
    DocumentReader read) {
  QuorumHostSettings host;
  host.vm = settings.vm;
  host.listen = settings.listen;
  host.data_folder = settings.data_folder;
  host.timing = settings.timing;
  host.snapshot_after = settings.snapshot_after;
  BOOST_OUTCOME_TRY(opened, QuorumHost::Open(io, std::move(host)));
  return std::shared_ptr<ControlMember>(
      new ControlMember(std::move(read), std::move(opened)));
}

ControlMember::ControlMember(DocumentReader read,
                             std::shared_ptr<QuorumHost> host)
    : read_(std::move(read)),
      host_(std::move(host)),
      sessions_(std::make_unique<AgentSessions>()) {}

ControlMember::~ControlMember() { Stop(); }

void ControlMember::Start(std::vector<ControlSeed> seeds) {
  host_->Start(std::move(seeds), MakeHooks());
}

QuorumHooks ControlMember::MakeHooks() {
  // Capturing `this` is safe: a stopped host calls no hook except
  // `on_failure`, and the destructor stops the host.
  std::weak_ptr<ControlMember> weak = weak_from_this();
  QuorumHooks hooks;
  hooks.apply = [this](const LogEntry& entry) { ApplyEntry(entry); };
  hooks.restore = [this](const std::string& bytes) { RestoreState(bytes); };
  hooks.pack = [this] { return Pack(state_); };
  hooks.on_leadership_change = [this](bool is_leader) {
    OnLeadershipChange(is_leader);
  };
  hooks.on_confirmed = [this](Round round) { leader_->OnConfirmed(round); };
  hooks.on_tick = [this](Time now) {
    if (leader_) leader_->Tick(now);
  };
  hooks.after_output = [this] {
    PushChanges();
    DeliverAnswers();
  };
  hooks.on_frame = [this](const LinkPtr& link, FrameType type,
                          std::string_view body) { OnFrame(link, type, body); };
  hooks.on_link_lost = [this](const LinkPtr& link) { sessions_->Remove(link); };
  hooks.admits = [this](const MemberHello& hello) {
    return state_.admitted.contains(hello.vm);
  };
  hooks.excludes = [this](const VmId& vm) {
    return state_.excluded.contains(vm);
  };
  hooks.on_failure = [weak](const Error& error) {
    std::shared_ptr<ControlMember> self = weak.lock();
    if (self && self->on_failure_) self->on_failure_(error);
  };
  return hooks;
}

void ControlMember::Stop() {
  host_->Stop();
  leader_ = nullptr;
  sessions_->Close();
  pending_.clear();
  ready_.clear();
}

void ControlMember::OnFailure(std::function<void(Error)> handler) {
  on_failure_ = std::move(handler);
}

bool ControlMember::leading() const { return leader_ != nullptr; }

void ControlMember::OnFrame(const LinkPtr& link, FrameType type,
                            std::string_view body) {
  if (type != FrameType::kControl) return;
  Result<ControlMessage> message = UnpackVariant<ControlMessage>(body);
  if (!message) {
    LogLine(LogLevel::kWarn, "control_message_refused")
        .Field("from", link->remote())
        .Field("error", ToString(message.error()));
    sessions_->Remove(link);
    return host_->Drop(link);
  }
  const ControlMessage& m = message.value();
  if (const auto* hello = std::get_if<AgentHello>(&m)) {
    return OnAgentHello(link, *hello);
  }
  if (!leader_) return SendRedirect(link);
  if (const auto* renew = std::get_if<RenewRequest>(&m))
    leader_->OnRenewRequest(link, *renew);
  if (const auto* call = std::get_if<Call>(&m)) leader_->OnCall(link, *call);
  host_->ScheduleOutput();
}

void ControlMember::OnAgentHello(const LinkPtr& link, const AgentHello& hello) {
  // The first frame of a link must fit kMaxHelloBytes, which a view may exceed.
  link->Send(FrameType::kQuorum, host_->PackedHello());
  sessions_->Add(link, hello);
  PushTo(link);
  if (!leader_) SendRedirect(link);
  host_->ScheduleOutput();
}

void ControlMember::SendRedirect(const LinkPtr& link) {
  Redirect redirect;
  const QuorumState& state = quorum();
  auto it = state.config.members.find(state.leader);
  if (it != state.config.members.end() && state.leader != state.self) {
    redirect.leader = it->second.vm;
    redirect.address = it->second.address;
  }
  link->Send(FrameType::kControl, PackVariant(ControlMessage(redirect)));
}

void ControlMember::RestoreState(const std::string& snapshot) {
  state_ = ControlState();
  pending_.clear();
  push_due_ = true;
  if (snapshot.empty()) return;
  Result<ControlState> state = Unpack<ControlState>(snapshot);
  if (!state) return host_->Fail(state.error());
  state_ = std::move(state.value());
}

void ControlMember::ApplyEntry(const LogEntry& entry) {
  ControlResult outcome = SubmitOutcome();
  if (entry.kind == EntryKind::kCommand) {
    Result<ControlCommand> command =
        UnpackVariant<ControlCommand>(entry.command);
    if (!command) return host_->Fail(command.error());
    outcome = Apply(state_, command.value());
    push_due_ = true;
    if (IsUrgent(command.value())) push_urgent_ = true;
  }
  if (leader_) leader_->OnApplied(entry.index);
  auto it = pending_.find(entry.index);
  if (it == pending_.end()) return;
  bool same = it->second.term == entry.term;
  if (!same) {
    outcome = Error{ErrorKind::kNotLeader, "another member is the leader",
                    "send the same request again"};
  }
  ready_.push_back(ReadyAnswer{std::move(it->second.answer), outcome});
  pending_.erase(it);
}

std::optional<LogIndex> ControlMember::ProposeCommand(
    const ControlCommand& command, Answer answer) {
  std::optional<LogIndex> index = host_->ProposeBytes(PackVariant(command));
  if (!index) return std::nullopt;
  if (answer) {
    pending_[*index] = PendingAnswer{quorum().vote.term, std::move(answer)};
  }
  return index;
}

void ControlMember::OnLeadershipChange(bool is_leader) {
  if (leader_) leader_->Abandon();
  leader_ = nullptr;
  if (!is_leader) return;
  leader_ = std::make_unique<ControlLeader>(*this, Now());
  push_due_ = true;
}

void ControlMember::PushChanges() {
  Time now = Now();
  const SoftState* soft = leader_ ? &leader_->soft() : nullptr;
  bool due = push_due_ || soft != nullptr;
  Duration interval = push_urgent_ ? kUrgentPushInterval : kLazyPushInterval;
  if (!due || now - last_push_ < interval) return;
  push_due_ = false;
  push_urgent_ = false;
  last_push_ = now;
  sessions_->PushAll(PushSource{state_, soft, quorum().vote.term, now});
}

void ControlMember::PushTo(const LinkPtr& link) {
  const SoftState* soft = leader_ ? &leader_->soft() : nullptr;
  sessions_->Push(link, PushSource{state_, soft, quorum().vote.term, Now()});
}

void ControlMember::DeliverAnswers() {
  std::vector<ReadyAnswer> ready = std::exchange(ready_, {});
  for (ReadyAnswer& item : ready) item.answer(item.outcome);
}

}  // namespace cardamomchute
