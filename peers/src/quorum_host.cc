#include "cardamomchute/peers/quorum_host.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <random>

#include "cardamomchute/base/log.h"
#include "member_links.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Log index of the initial snapshot of a new system.
constexpr LogIndex kBootstrapIndex(1);

uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) ^ device();
}

}  // namespace

Result<std::shared_ptr<QuorumHost>> QuorumHost::Open(
    asio::io_context& io, QuorumHostSettings settings) {
  BOOST_OUTCOME_TRY(store, LogStore::Open(settings.data_folder, settings.vm));
  std::shared_ptr<QuorumHost> host(
      new QuorumHost(io, std::move(settings), std::move(store)));
  BOOST_OUTCOME_TRY(host->Listen());
  return host;
}

QuorumHost::QuorumHost(asio::io_context& io, QuorumHostSettings settings,
                       std::unique_ptr<LogStore> store)
    : io_(io),
      settings_(std::move(settings)),
      store_(std::move(store)),
      listener_(std::make_shared<TcpListener>(&io)),
      timer_(io),
      quorum_(MakeQuorum(store_->self(), store_->TakeStored(), settings_.timing,
                         RandomSeed(), Now())) {}

QuorumHost::~QuorumHost() = default;

Status QuorumHost::Listen() {
  return listener_->Open(settings_.listen, "member.listen");
}

Address QuorumHost::address() const {
  return Address{settings_.listen.host, listener_->port()};
}

void QuorumHost::Start(std::vector<ControlSeed> seeds, QuorumHooks hooks) {
  seeds_ = std::move(seeds);
  hooks_ = std::move(hooks);
  settings_.listen = address();
  for (const ControlSeed& seed : seeds_) {
    if (seed.id == settings_.vm) settings_.listen = seed.address;
  }
  hooks_.restore(quorum_.snapshot.state);
  if (settings_.first_election_timeout > Duration()) {
    int64_t half = settings_.first_election_timeout.ms() / 2;
    int64_t spread = static_cast<int64_t>(RandomSeed() % (half + 1));
    quorum_.election_due = Now() + Millis(half + spread);
  }
  std::weak_ptr<QuorumHost> weak = weak_from_this();
  links_ = std::make_shared<MemberLinks>(
      io_.get_executor(),
      [weak] {
        std::shared_ptr<QuorumHost> self = weak.lock();
        return self ? self->PackedHello() : std::string();
      },
      [weak](const VmId& vm) {
        std::shared_ptr<QuorumHost> self = weak.lock();
        if (!self || self->stopped_) return;
        if (self->hooks_.on_member_link) self->hooks_.on_member_link(vm);
      });
  LogLine(LogLevel::kInfo, "member_start")
      .Field("member", quorum_.self)
      .Field("term", quorum_.vote.term)
      .Field("last_index", LastIndex(quorum_))
      .Field("snapshot_index", quorum_.snapshot.last_index);
  listener_->Start([weak](tcp::socket socket) {
    std::shared_ptr<QuorumHost> self = weak.lock();
    if (self) self->HandleConnection(std::move(socket));
  });
  Tick();
}

void QuorumHost::Stop() {
  if (stopped_) return;
  stopped_ = true;
  listener_->Close();
  timer_.cancel();
  if (std::exchange(leading_, false)) hooks_.on_leadership_change(false);
  for (auto& [key, link] : inbound_) link->Close();
  inbound_.clear();
  if (links_) links_->Close();
}

void QuorumHost::Fail(const Error& error) {
  if (stopped_) return;
  LogLine(LogLevel::kError, "member_failed").Field("error", ToString(error));
  Stop();
  if (hooks_.on_failure) hooks_.on_failure(error);
}

bool QuorumHost::Connected(const VmId& vm) const {
  return links_ && links_->Connected(vm);
}

bool QuorumHost::HasLeaderContact(Time now) const {
  if (leading_) return true;
  return quorum_.leader_heard && !quorum_.leader.empty() &&
         now - *quorum_.leader_heard < settings_.timing.election_max;
}

// ---- links ---------------------------------------------------------------

void QuorumHost::HandleConnection(tcp::socket socket) {
  LinkPtr link = std::make_shared<Link>(std::move(socket));
  inbound_[link.get()] = link;
  std::weak_ptr<QuorumHost> weak = weak_from_this();
  std::weak_ptr<Link> weak_link = link;
  link->Start(
      [weak, weak_link](FrameType type, std::string_view body) {
        std::shared_ptr<QuorumHost> self = weak.lock();
        LinkPtr from = weak_link.lock();
        if (self && from) self->OnFrame(from, type, body);
      },
      [weak, weak_link](const std::string&) {
        std::shared_ptr<QuorumHost> self = weak.lock();
        LinkPtr lost = weak_link.lock();
        if (!self || !lost || self->stopped_) return;
        if (self->hooks_.on_link_lost) self->hooks_.on_link_lost(lost);
        self->inbound_.erase(lost.get());
      });
}

void QuorumHost::Drop(const LinkPtr& link) {
  inbound_.erase(link.get());
  link->Close();
}

void QuorumHost::OnFrame(const LinkPtr& link, FrameType type,
                         std::string_view body) {
  if (stopped_) return;
  if (type != FrameType::kQuorum) return hooks_.on_frame(link, type, body);
  Result<MemberMessage> message = UnpackVariant<MemberMessage>(body);
  if (!message) {
    LogLine(LogLevel::kWarn, "quorum_message_refused")
        .Field("from", link->remote())
        .Field("error", ToString(message.error()));
    if (hooks_.on_link_lost) hooks_.on_link_lost(link);
    return Drop(link);
  }
  if (const auto* hello = std::get_if<MemberHello>(&message.value())) {
    received_hellos_[hello->vm] = ReceivedHello{*hello, Now()};
    return;
  }
  OnEnvelope(std::get<QuorumEnvelope>(message.value()));
}

void QuorumHost::OnEnvelope(const QuorumEnvelope& envelope) {
  Result<QuorumMessage> message = FromEnvelope(envelope);
  if (!message) {
    LogLine(LogLevel::kWarn, "quorum_message_refused")
        .Field("from", envelope.from)
        .Field("error", ToString(message.error()));
    return;
  }
  OnMessage(quorum_, message.value(), Now());
  ScheduleOutput();
}

std::string QuorumHost::PackedHello() const {
  return PackVariant(MemberMessage(
      MemberHello{quorum_.self, settings_.vm, settings_.listen, IsFresh()}));
}

void QuorumHost::SendTo(const VmId& vm, FrameType type, std::string body) {
  if (links_) links_->Send(vm, type, std::move(body));
}

void QuorumHost::SendToAll(FrameType type, const std::string& body) {
  if (links_) links_->SendAll(type, body);
}

/// Connects to all members, and to the seeds until this one is a member.
void QuorumHost::UpdatePeers() {
  std::map<VmId, Address> peers;
  bool member = quorum_.config.members.contains(quorum_.self);
  if (!member) {
    for (const ControlSeed& seed : seeds_) peers[seed.id] = seed.address;
  }
  for (const auto& [id, info] : quorum_.config.members) {
    // A learner may replace a lost voter of the same VM at another address.
    bool first = peers.try_emplace(info.vm, info.address).second;
    if (!first && (!info.voter || !member)) peers[info.vm] = info.address;
  }
  // A member may send requests before it is in this member's configuration.
  for (const auto& [vm, received] : received_hellos_) {
    bool recent = Now() - received.at < kMemberHelloTtl;
    if (recent) peers.try_emplace(vm, received.hello.address);
  }
  peers.erase(settings_.vm);
  links_->SetPeers(peers);
}

// ---- ticks and output -----------------------------------------------------

void QuorumHost::ScheduleTick() {
  timer_.expires_after(std::chrono::milliseconds(settings_.tick.ms()));
  std::shared_ptr<QuorumHost> self = shared_from_this();
  timer_.async_wait([self](error_code error) {
    if (!error && !self->stopped_) self->Tick();
  });
}

void QuorumHost::Tick() {
  Time now = Now();
  MaybeBootstrap();
  if (stopped_) return;
  UpdatePeers();
  links_->Tick(now);
  RetryDisk(now);
  OnTick(quorum_, now);
  ProcessOutput();
  if (stopped_) return;
  if (leading_) ReviewMembers(now);
  hooks_.on_tick(now);
  ProcessOutput();
  if (!stopped_) ScheduleTick();
}

/// Batches the messages that arrive together, so that they share one sync.
void QuorumHost::ScheduleOutput() {
  if (output_scheduled_) return;
  output_scheduled_ = true;
  std::shared_ptr<QuorumHost> self = shared_from_this();
  asio::post(io_, [self] { self->ProcessOutput(); });
}

void QuorumHost::ProcessOutput() {
  output_scheduled_ = false;
  while (!stopped_ && ProcessOutputOnce()) {
  }
  if (stopped_) return;
  hooks_.after_output();
  MaybeSnapshot();
}

bool QuorumHost::ProcessOutputOnce() {
  UpdateLeadership();
  QuorumOutput output = TakeOutput(quorum_, Now());
  if (output.Empty()) return false;
  if (quorum_.disk_refuses) {
    NoteUnsaved(output);
  } else if (Status persisted = Persist(output); !persisted) {
    OnDiskError(output, persisted.error());
    output.messages.clear();
    output.confirmed = Round();
  }
  for (const QuorumMessage& message : output.messages) {
    links_->Send(VmOf(message.to), FrameType::kQuorum,
                 PackVariant(MemberMessage(ToEnvelope(message))));
  }
  if (output.install) hooks_.restore(output.install->state);
  for (const LogEntry& entry : output.apply) {
    if (stopped_) return false;
    hooks_.apply(entry);
  }
  bool confirmed = !stopped_ && leading_ && output.confirmed > Round();
  if (confirmed) hooks_.on_confirmed(output.confirmed);
  return true;
}

std::optional<LogIndex> QuorumHost::ProposeBytes(std::string command) {
  std::optional<LogIndex> index = Propose(quorum_, std::move(command));
  if (index) ScheduleOutput();
  return index;
}

std::optional<Round> QuorumHost::BeginRound() {
  std::optional<Round> round = StartRound(quorum_);
  if (round) ScheduleOutput();
  return round;
}

/// Runs the leadership hook when this member has won or lost an election.
void QuorumHost::UpdateLeadership() {
  bool leads = quorum_.role == QuorumRole::kLeader;
  bool same = leads && leading_ && leader_term_ == quorum_.vote.term;
  if (same || (!leads && !leading_)) return;
  if (std::exchange(leading_, false)) {
    LogLine(LogLevel::kInfo, "lead_lost").Field("term", quorum_.vote.term);
    hooks_.on_leadership_change(false);
  }
  if (!leads) return;
  leading_ = true;
  leader_term_ = quorum_.vote.term;
  leadership_start_ = Now();
  promoted_at_.clear();
  LogLine(LogLevel::kInfo, "lead_taken").Field("term", quorum_.vote.term);
  hooks_.on_leadership_change(true);
}

void QuorumHost::MaybeSnapshot() {
  uint64_t entries =
      quorum_.applied.value() - quorum_.snapshot.last_index.value();
  bool due = entries >= settings_.snapshot_after ||
             (entries > 0 && !snapshot_unsaved_ &&
              store_->log_bytes() >= settings_.snapshot_bytes);
  if (stopped_ || !due) return;
  Compact(quorum_, quorum_.applied, hooks_.pack());
  snapshot_unsaved_ = true;
  if (quorum_.disk_refuses) return;
  Status saved = SaveCompacted();
  if (saved) return;
  // The log on disk still has the entries that were compacted in memory.
  next_disk_retry_ = Now() + kDiskRetryInterval;
  LogLine(LogLevel::kWarn, "snapshot_refused")
      .Field("error", ToString(saved.error()));
}

bool QuorumHost::IsFresh() const {
  return settings_.may_bootstrap && quorum_.snapshot.last_index == LogIndex() &&
         quorum_.log.empty();
}

/// Bootstraps a new system. Only the seed with the smallest id does so, and
/// only once every seed has reported an empty data folder. So a member that
/// lost its folder cannot create a second system beside members with a log.
void QuorumHost::MaybeBootstrap() {
  Time now = Now();
  if (!IsFresh() || seeds_.empty() || now < next_disk_retry_) return;
  QuorumConfig config;
  for (const ControlSeed& seed : seeds_) {
    if (seed.id < settings_.vm) return;
    if (seed.id == settings_.vm) {
      config.members[quorum_.self] = QuorumMember{seed.id, seed.address, true};
      continue;
    }
    auto it = received_hellos_.find(seed.id);
    bool ready = it != received_hellos_.end() && it->second.hello.fresh &&
                 now - it->second.at < kMemberHelloTtl;
    if (!ready) return;
    config.members[it->second.hello.id] =
        QuorumMember{seed.id, seed.address, true};
  }
  if (!config.members.contains(quorum_.self)) return;
  QuorumSnapshot bootstrap{kBootstrapIndex, QuorumTerm(), config, ""};
  Status saved = store_->SaveSnapshot(bootstrap, {});
  if (!saved) {
    next_disk_retry_ = now + kDiskRetryInterval;
    LogLine(LogLevel::kWarn, "bootstrap_refused")
        .Field("error", ToString(saved.error()));
    return;
  }
  LogLine(LogLevel::kInfo, "system_bootstrapped")
      .Field("members", config.members.size());
  StoredQuorum stored{quorum_.vote, std::move(bootstrap), {}};
  quorum_ = MakeQuorum(quorum_.self, std::move(stored), settings_.timing,
                       RandomSeed(), now);
  quorum_.election_due = now;
}

}  // namespace cardamomchute
