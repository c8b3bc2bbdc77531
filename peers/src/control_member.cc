#include "cardamomchute/peers/control_member.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <random>

#include "agent_sessions.h"
#include "cardamomchute/base/log.h"
#include "cardamomchute/peers/link.h"
#include "control_leader.h"
#include "member_links.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr Duration kTick = Millis(20);
/// A greeting older than this says nothing of the member any more.
constexpr Duration kGreetingValid = Seconds(2);
/// The founding snapshot of a new system stands at this index.
constexpr LogIndex kFoundingIndex(1);

/// Coming and going of VMs is pushed less often than what statements need: a
/// whole fleet that starts would else be told of each VM one by one.
constexpr Duration kLazyPushInterval = Millis(200);

bool IsUrgent(const ControlCommand& command) {
  return !std::holds_alternative<RegisterVm>(command) &&
         !std::holds_alternative<ForgetVm>(command);
}

uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) ^ device();
}

}  // namespace

Result<std::shared_ptr<ControlMember>> ControlMember::Open(
    asio::io_context& io, ControlMemberSettings settings, ReadDocument read) {
  BOOST_OUTCOME_TRY(store, LogStore::Open(settings.data_folder, settings.vm));
  std::shared_ptr<ControlMember> member(new ControlMember(
      io, std::move(settings), std::move(read), std::move(store)));
  BOOST_OUTCOME_TRY(member->Listen());
  return member;
}

ControlMember::ControlMember(asio::io_context& io,
                             ControlMemberSettings settings, ReadDocument read,
                             std::unique_ptr<LogStore> store)
    : io_(io),
      settings_(std::move(settings)),
      read_(std::move(read)),
      store_(std::move(store)),
      acceptor_(io),
      timer_(io),
      sessions_(std::make_unique<AgentSessions>()),
      quorum_(MakeQuorum(store_->self(), store_->TakeStored(), settings_.timing,
                         RandomSeed(), Now())) {}

ControlMember::~ControlMember() = default;

Status ControlMember::Listen() {
  error_code error;
  asio::ip::address ip = asio::ip::make_address(settings_.listen.host, error);
  tcp::endpoint endpoint(ip, settings_.listen.port);
  if (!error) acceptor_.open(endpoint.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(endpoint, error);
  if (!error)
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (!error) return Ok();
  return Error{
      ErrorKind::kIo,
      "cannot listen on " + ToString(settings_.listen) + ": " + error.message(),
      "set member.listen to a free address of this VM"};
}

Address ControlMember::address() const {
  error_code error;
  tcp::endpoint endpoint = acceptor_.local_endpoint(error);
  return Address{settings_.listen.host, endpoint.port()};
}

void ControlMember::Start(std::vector<ControlSeed> seeds) {
  seeds_ = std::move(seeds);
  settings_.listen = address();
  for (const ControlSeed& seed : seeds_) {
    if (seed.id == settings_.vm) settings_.listen = seed.address;
  }
  RestoreState(quorum_.snapshot);
  std::weak_ptr<ControlMember> weak = weak_from_this();
  links_ = std::make_shared<MemberLinks>(io_.get_executor(), [weak] {
    std::shared_ptr<ControlMember> self = weak.lock();
    return self ? self->Greeting() : std::string();
  });
  LogLine(LogLevel::kInfo, "member_start")
      .Field("member", quorum_.self)
      .Field("term", quorum_.vote.term)
      .Field("last_index", LastIndex(quorum_))
      .Field("snapshot_index", quorum_.snapshot.last_index);
  Accept();
  Tick();
}

void ControlMember::Stop() {
  if (stopped_) return;
  stopped_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  timer_.cancel();
  if (leader_) leader_->Abandon();
  leader_ = nullptr;
  sessions_->Close();
  for (auto& [key, link] : inbound_) link->Close();
  inbound_.clear();
  if (links_) links_->Close();
  pending_.clear();
  ready_.clear();
}

void ControlMember::OnFailure(std::function<void(Error)> handler) {
  on_failure_ = std::move(handler);
}

bool ControlMember::leading() const { return leader_ != nullptr; }

void ControlMember::Fail(const Error& error) {
  LogLine(LogLevel::kError, "member_failed").Field("error", ToString(error));
  Stop();
  if (on_failure_) on_failure_(error);
}

// ---- links ---------------------------------------------------------------

void ControlMember::Accept() {
  std::shared_ptr<ControlMember> self = shared_from_this();
  acceptor_.async_accept([self](error_code error, tcp::socket socket) {
    if (self->stopped_) return;
    if (!error) self->TakeConnection(std::move(socket));
    self->Accept();
  });
}

void ControlMember::TakeConnection(tcp::socket socket) {
  LinkPtr link = std::make_shared<Link>(std::move(socket));
  inbound_[link.get()] = link;
  std::weak_ptr<ControlMember> weak = weak_from_this();
  std::weak_ptr<Link> weak_link = link;
  link->Start(
      [weak, weak_link](FrameType type, std::string_view body) {
        std::shared_ptr<ControlMember> self = weak.lock();
        LinkPtr from = weak_link.lock();
        if (!self || !from || type != FrameType::kControl) return;
        self->OnFrame(from, body);
      },
      [weak, weak_link](const std::string&) {
        std::shared_ptr<ControlMember> self = weak.lock();
        LinkPtr lost = weak_link.lock();
        if (!self || !lost) return;
        self->sessions_->Remove(lost);
        self->inbound_.erase(lost.get());
      });
}

void ControlMember::OnFrame(const LinkPtr& link, std::string_view body) {
  if (stopped_) return;
  Result<ControlMessage> message = UnpackVariant<ControlMessage>(body);
  if (!message) {
    LogLine(LogLevel::kWarn, "control_message_refused")
        .Field("from", link->remote())
        .Field("error", ToString(message.error()));
    sessions_->Remove(link);
    inbound_.erase(link.get());
    return link->Close();
  }
  const ControlMessage& m = message.value();
  if (const auto* hello = std::get_if<MemberHello>(&m)) {
    return OnMemberHello(*hello);
  }
  if (const auto* envelope = std::get_if<QuorumEnvelope>(&m)) {
    return OnEnvelope(*envelope);
  }
  if (const auto* hello = std::get_if<AgentHello>(&m)) {
    return OnAgentHello(link, *hello);
  }
  if (!leader_) return SendRedirect(link);
  if (const auto* renew = std::get_if<Renew>(&m))
    leader_->OnRenew(link, *renew);
  if (const auto* call = std::get_if<Call>(&m)) leader_->OnCall(link, *call);
  ScheduleDrive();
}

void ControlMember::OnMemberHello(const MemberHello& hello) {
  heard_[hello.vm] = HeardMember{hello, Now()};
}

void ControlMember::OnEnvelope(const QuorumEnvelope& envelope) {
  Result<QuorumMessage> message = FromEnvelope(envelope);
  if (!message) {
    LogLine(LogLevel::kWarn, "quorum_message_refused")
        .Field("from", envelope.from)
        .Field("error", ToString(message.error()));
    return;
  }
  OnMessage(quorum_, message.value(), Now());
  ScheduleDrive();
}

void ControlMember::OnAgentHello(const LinkPtr& link, const AgentHello& hello) {
  // A link takes only a short frame first; a view may be long.
  link->Send(FrameType::kControl, Greeting());
  sessions_->Add(link, hello);
  PushTo(link);
  if (!leader_) SendRedirect(link);
  ScheduleDrive();
}

void ControlMember::SendRedirect(const LinkPtr& link) {
  Redirect redirect;
  auto it = quorum_.config.members.find(quorum_.leader);
  if (it != quorum_.config.members.end() && quorum_.leader != quorum_.self) {
    redirect.leader = it->second.vm;
    redirect.address = it->second.address;
  }
  link->Send(FrameType::kControl, PackVariant(ControlMessage(redirect)));
}

std::string ControlMember::Greeting() const {
  return PackVariant(ControlMessage(
      MemberHello{quorum_.self, settings_.vm, settings_.listen, IsFresh()}));
}

/// Dials all members, and the seeds while this is none of the members yet.
void ControlMember::UpdatePeers() {
  std::map<VmId, Address> peers;
  bool member = quorum_.config.members.contains(quorum_.self);
  if (!member) {
    for (const ControlSeed& seed : seeds_) peers[seed.id] = seed.address;
  }
  for (const auto& [id, info] : quorum_.config.members) {
    // A learner may replace a lost voter of the same VM elsewhere.
    bool first = peers.try_emplace(info.vm, info.address).second;
    if (!first && (!info.voter || !member)) peers[info.vm] = info.address;
  }
  // The sender of a request may be no member we know of yet.
  for (const auto& [vm, heard] : heard_) {
    bool recent = Now() - heard.at < kGreetingValid;
    if (recent) peers.try_emplace(vm, heard.hello.address);
  }
  peers.erase(settings_.vm);
  links_->SetPeers(peers);
}

// ---- the quorum's loop ---------------------------------------------------

void ControlMember::ScheduleTick() {
  timer_.expires_after(std::chrono::milliseconds(kTick.ms()));
  std::shared_ptr<ControlMember> self = shared_from_this();
  timer_.async_wait([self](error_code error) {
    if (!error && !self->stopped_) self->Tick();
  });
}

void ControlMember::Tick() {
  Time now = Now();
  MaybeFound();
  if (stopped_) return;
  UpdatePeers();
  links_->Tick(now);
  OnTick(quorum_, now);
  Drive();
  if (stopped_) return;
  if (leader_) leader_->Tick(now);
  Drive();
  if (!stopped_) ScheduleTick();
}

/// Gathers what arrives together into one sync.
void ControlMember::ScheduleDrive() {
  if (drive_due_) return;
  drive_due_ = true;
  std::shared_ptr<ControlMember> self = shared_from_this();
  asio::post(io_, [self] { self->Drive(); });
}

void ControlMember::Drive() {
  drive_due_ = false;
  while (!stopped_ && DriveOnce()) {
  }
  if (stopped_) return;
  PushChanges();
  DeliverAnswers();
  MaybeSnapshot();
}

bool ControlMember::DriveOnce() {
  NoticeReign();
  QuorumOutput output = TakeOutput(quorum_, Now());
  if (output.Empty()) return false;
  Status persisted = Persist(output);
  if (!persisted) {
    Fail(persisted.error());
    return false;
  }
  for (const QuorumMessage& message : output.messages) SendMessage(message);
  if (output.install) RestoreState(*output.install);
  for (const LogEntry& entry : output.apply) ApplyEntry(entry);
  bool confirmed = leader_ && output.confirmed > Round();
  if (confirmed) leader_->OnConfirmed(output.confirmed);
  return true;
}

Status ControlMember::Persist(const QuorumOutput& output) {
  if (output.save_vote) {
    BOOST_OUTCOME_TRY(store_->SaveVote(quorum_.vote));
  }
  if (output.install) {
    // After an install `append` holds the whole of the log that remains.
    BOOST_OUTCOME_TRY(store_->SaveSnapshot(*output.install, output.append));
  } else {
    BOOST_OUTCOME_TRY(store_->Append(output.append));
  }
  LogIndex last = LastIndex(quorum_);
  OnPersisted(quorum_, last, *TermAt(quorum_, last), Now());
  return Ok();
}

void ControlMember::SendMessage(const QuorumMessage& message) {
  links_->Send(VmOf(message.to),
               PackVariant(ControlMessage(ToEnvelope(message))));
}

void ControlMember::RestoreState(const QuorumSnapshot& snapshot) {
  state_ = ControlState();
  pending_.clear();
  push_due_ = true;
  if (snapshot.state.empty()) return;
  Result<ControlState> state = Unpack<ControlState>(snapshot.state);
  if (!state) return Fail(state.error());
  state_ = std::move(state.value());
}

void ControlMember::ApplyEntry(const LogEntry& entry) {
  ControlAnswer outcome = SubmitOutcome();
  if (entry.kind == EntryKind::kCommand) {
    Result<ControlCommand> command =
        UnpackVariant<ControlCommand>(entry.command);
    if (!command) return Fail(command.error());
    outcome = Apply(state_, command.value());
    push_due_ = true;
    if (IsUrgent(command.value())) push_urgent_ = true;
  }
  if (leader_) leader_->OnApplied(entry.index);
  auto it = pending_.find(entry.index);
  if (it == pending_.end()) return;
  bool same = it->second.term == entry.term;
  if (!same) {
    outcome = Error{ErrorKind::kNotLeader, "another member leads now",
                    "send the same request again"};
  }
  ready_.push_back(ReadyAnswer{std::move(it->second.answer), outcome});
  pending_.erase(it);
}

std::optional<LogIndex> ControlMember::ProposeCommand(
    const ControlCommand& command, Answer answer) {
  std::optional<LogIndex> index = Propose(quorum_, PackVariant(command));
  if (!index) return std::nullopt;
  if (answer) {
    pending_[*index] = PendingAnswer{quorum_.vote.term, std::move(answer)};
  }
  ScheduleDrive();
  return index;
}

/// Takes up or lays down the leader's duties.
void ControlMember::NoticeReign() {
  bool leads = quorum_.role == QuorumRole::kLeader;
  bool same = leads && leader_ && leader_->reign() == quorum_.vote.term;
  if (same || (!leads && !leader_)) return;
  if (leader_) {
    leader_->Abandon();
    leader_ = nullptr;
    LogLine(LogLevel::kInfo, "lead_lost").Field("term", quorum_.vote.term);
  }
  if (!leads) return;
  leader_ = std::make_unique<ControlLeader>(*this, Now());
  push_due_ = true;
  LogLine(LogLevel::kInfo, "lead_taken").Field("term", quorum_.vote.term);
}

void ControlMember::MaybeSnapshot() {
  uint64_t entries =
      quorum_.applied.value() - quorum_.snapshot.last_index.value();
  if (stopped_ || entries < settings_.snapshot_after) return;
  Compact(quorum_, quorum_.applied, Pack(state_));
  Status saved = store_->SaveSnapshot(quorum_.snapshot, quorum_.log);
  if (!saved) return Fail(saved.error());
  LogLine(LogLevel::kInfo, "snapshot_saved")
      .Field("index", quorum_.snapshot.last_index)
      .Field("bytes", quorum_.snapshot.state.size());
}

bool ControlMember::IsFresh() const {
  return quorum_.snapshot.last_index == LogIndex() && quorum_.log.empty();
}

/// Founds a new system: the seed with the smallest name does so, once every
/// seed is there with an empty folder. A lost folder beside members that hold
/// a log never leads to a second system.
void ControlMember::MaybeFound() {
  if (!IsFresh() || seeds_.empty()) return;
  QuorumConfig config;
  Time now = Now();
  for (const ControlSeed& seed : seeds_) {
    if (seed.id < settings_.vm) return;
    if (seed.id == settings_.vm) {
      config.members[quorum_.self] = QuorumMember{seed.id, seed.address, true};
      continue;
    }
    auto it = heard_.find(seed.id);
    bool ready = it != heard_.end() && it->second.hello.fresh &&
                 now - it->second.at < kGreetingValid;
    if (!ready) return;
    config.members[it->second.hello.id] =
        QuorumMember{seed.id, seed.address, true};
  }
  if (!config.members.contains(quorum_.self)) return;
  QuorumSnapshot founding{kFoundingIndex, QuorumTerm(), config, ""};
  Status saved = store_->SaveSnapshot(founding, {});
  if (!saved) return Fail(saved.error());
  LogLine(LogLevel::kInfo, "system_founded")
      .Field("members", config.members.size());
  StoredQuorum stored{quorum_.vote, std::move(founding), {}};
  quorum_ = MakeQuorum(quorum_.self, std::move(stored), settings_.timing,
                       RandomSeed(), now);
  quorum_.election_due = now;
}

void ControlMember::PushChanges() {
  Time now = Now();
  const SoftState* soft = leader_ ? &leader_->soft() : nullptr;
  bool due = push_due_ || soft != nullptr;
  Duration interval = push_urgent_ ? kTick : kLazyPushInterval;
  if (!due || now - last_push_ < interval) return;
  push_due_ = false;
  push_urgent_ = false;
  last_push_ = now;
  sessions_->PushAll(PushSource{state_, soft, quorum_.vote.term, now});
}

void ControlMember::PushTo(const LinkPtr& link) {
  const SoftState* soft = leader_ ? &leader_->soft() : nullptr;
  sessions_->Push(link, PushSource{state_, soft, quorum_.vote.term, Now()});
}

void ControlMember::DeliverAnswers() {
  std::vector<ReadyAnswer> ready = std::exchange(ready_, {});
  for (ReadyAnswer& item : ready) item.answer(item.outcome);
}

}  // namespace cardamomchute
