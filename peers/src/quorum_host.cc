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

/// The founding snapshot of a new system stands at this index.
constexpr LogIndex kFoundingIndex(1);

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
      acceptor_(io),
      timer_(io),
      quorum_(MakeQuorum(store_->self(), store_->TakeStored(), settings_.timing,
                         RandomSeed(), Now())) {}

QuorumHost::~QuorumHost() = default;

Status QuorumHost::Listen() {
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

Address QuorumHost::address() const {
  error_code error;
  tcp::endpoint endpoint = acceptor_.local_endpoint(error);
  return Address{settings_.listen.host, endpoint.port()};
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
        return self ? self->Greeting() : std::string();
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
  Accept();
  Tick();
}

void QuorumHost::Stop() {
  if (stopped_) return;
  stopped_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  timer_.cancel();
  if (std::exchange(reigning_, false)) hooks_.on_leadership_change(false);
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
  if (reigning_) return true;
  return quorum_.leader_heard && !quorum_.leader.empty() &&
         now - *quorum_.leader_heard < settings_.timing.election_max;
}

// ---- links ---------------------------------------------------------------

void QuorumHost::Accept() {
  std::shared_ptr<QuorumHost> self = shared_from_this();
  acceptor_.async_accept([self](error_code error, tcp::socket socket) {
    if (self->stopped_) return;
    if (!error) self->TakeConnection(std::move(socket));
    self->Accept();
  });
}

void QuorumHost::TakeConnection(tcp::socket socket) {
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
    heard_[hello->vm] = HeardMember{*hello, Now()};
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
  ScheduleDrive();
}

std::string QuorumHost::Greeting() const {
  return PackVariant(MemberMessage(
      MemberHello{quorum_.self, settings_.vm, settings_.listen, IsFresh()}));
}

void QuorumHost::SendTo(const VmId& vm, FrameType type, std::string body) {
  if (links_) links_->Send(vm, type, std::move(body));
}

void QuorumHost::SendToAll(FrameType type, const std::string& body) {
  if (links_) links_->SendAll(type, body);
}

/// Dials all members, and the seeds while this is none of the members yet.
void QuorumHost::UpdatePeers() {
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

// ---- the loop ------------------------------------------------------------

void QuorumHost::ScheduleTick() {
  timer_.expires_after(std::chrono::milliseconds(settings_.tick.ms()));
  std::shared_ptr<QuorumHost> self = shared_from_this();
  timer_.async_wait([self](error_code error) {
    if (!error && !self->stopped_) self->Tick();
  });
}

void QuorumHost::Tick() {
  Time now = Now();
  MaybeFound();
  if (stopped_) return;
  UpdatePeers();
  links_->Tick(now);
  OnTick(quorum_, now);
  Drive();
  if (stopped_) return;
  if (reigning_) ReviewMembers(now);
  hooks_.on_tick(now);
  Drive();
  if (!stopped_) ScheduleTick();
}

/// Gathers what arrives together into one sync.
void QuorumHost::ScheduleDrive() {
  if (drive_due_) return;
  drive_due_ = true;
  std::shared_ptr<QuorumHost> self = shared_from_this();
  asio::post(io_, [self] { self->Drive(); });
}

void QuorumHost::Drive() {
  drive_due_ = false;
  while (!stopped_ && DriveOnce()) {
  }
  if (stopped_) return;
  hooks_.after_output();
  MaybeSnapshot();
}

bool QuorumHost::DriveOnce() {
  NoticeReign();
  QuorumOutput output = TakeOutput(quorum_, Now());
  if (output.Empty()) return false;
  Status persisted = Persist(output);
  if (!persisted) {
    Fail(persisted.error());
    return false;
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
  bool confirmed = !stopped_ && reigning_ && output.confirmed > Round();
  if (confirmed) hooks_.on_confirmed(output.confirmed);
  return true;
}

Status QuorumHost::Persist(const QuorumOutput& output) {
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

std::optional<LogIndex> QuorumHost::ProposeBytes(std::string command) {
  std::optional<LogIndex> index = Propose(quorum_, std::move(command));
  if (index) ScheduleDrive();
  return index;
}

std::optional<Round> QuorumHost::BeginRound() {
  std::optional<Round> round = StartRound(quorum_);
  if (round) ScheduleDrive();
  return round;
}

/// Takes up or lays down the leader's duties.
void QuorumHost::NoticeReign() {
  bool leads = quorum_.role == QuorumRole::kLeader;
  bool same = leads && reigning_ && reign_ == quorum_.vote.term;
  if (same || (!leads && !reigning_)) return;
  if (std::exchange(reigning_, false)) {
    LogLine(LogLevel::kInfo, "lead_lost").Field("term", quorum_.vote.term);
    hooks_.on_leadership_change(false);
  }
  if (!leads) return;
  reigning_ = true;
  reign_ = quorum_.vote.term;
  reign_start_ = Now();
  joined_.clear();
  LogLine(LogLevel::kInfo, "lead_taken").Field("term", quorum_.vote.term);
  hooks_.on_leadership_change(true);
}

void QuorumHost::MaybeSnapshot() {
  uint64_t entries =
      quorum_.applied.value() - quorum_.snapshot.last_index.value();
  bool due = entries >= settings_.snapshot_after ||
             (entries > 0 && store_->log_bytes() >= settings_.snapshot_bytes);
  if (stopped_ || !due) return;
  Compact(quorum_, quorum_.applied, hooks_.pack());
  Status saved = store_->SaveSnapshot(quorum_.snapshot, quorum_.log);
  if (!saved) return Fail(saved.error());
  LogLine(LogLevel::kInfo, "snapshot_saved")
      .Field("index", quorum_.snapshot.last_index)
      .Field("bytes", quorum_.snapshot.state.size());
}

bool QuorumHost::IsFresh() const {
  return settings_.may_bootstrap && quorum_.snapshot.last_index == LogIndex() &&
         quorum_.log.empty();
}

/// Founds a new system: the seed with the smallest name does so, once every
/// seed is there with an empty folder. A lost folder beside members that hold
/// a log never leads to a second system.
void QuorumHost::MaybeFound() {
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

}  // namespace cardamomchute
