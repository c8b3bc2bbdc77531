#include "cardamomchute/fleet/fleet_controller.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/base/pack.h"
#include "cardamomchute/peers/record_file.h"
#include "cardamomchute/relay/run.h"

namespace cardamomchute {
namespace {

constexpr Duration kTick = Millis(40);
/// Directory changes are batched for this long before they are pushed.
constexpr Duration kFlushInterval = Millis(40);
/// A silent voter is removed this long after a newer member has joined.
constexpr Duration kReplaceAfter = Seconds(6);
/// Shorter than the default: without a leader, relays receive no updates.
constexpr QuorumTiming kTiming = {Millis(80), Millis(300), Millis(600),
                                  Seconds(2)};
constexpr Duration kFirstElection = Millis(200);
/// Interval between two searches for silent relays and old records.
constexpr Duration kExpiryInterval = Millis(500);
/// Minimum interval between two writes of the directory to disk.
constexpr Duration kCacheInterval = Seconds(3);
constexpr char kCacheFile[] = "directory";
constexpr char kRelaysFile[] = "relays";
constexpr uint64_t kSnapshotAfter = 200;
constexpr uint64_t kSnapshotBytes = 4 * 1024 * 1024;

VmId MemberVm(const Address& address) { return VmId(ToString(address)); }

std::vector<ControlSeed> ToSeeds(const std::vector<Address>& addresses) {
  std::vector<ControlSeed> seeds;
  for (const Address& address : addresses)
    seeds.push_back(ControlSeed{MemberVm(address), address});
  return seeds;
}

}  // namespace

FleetController::FleetController(FleetControllerParams params)
    : params_(std::move(params)),
      rounds_([this] { return host_->BeginRound(); }),
      leases_(LeaseParams()),
      key_authority_(KeyAuthorityParams()) {}

FleetController::~FleetController() { Stop(); }

PrimaryLeaseServerParams FleetController::LeaseParams() {
  PrimaryLeaseServerParams params;
  params.self = MemberVm(params_.listen);
  params.grantable = [this] { return Grantable(); };
  params.send_to_leader = [this](const FleetMessage& message) {
    return SendToLeader(message);
  };
  params.send_to_member = [this](const VmId& vm, const FleetMessage& message) {
    host_->SendTo(vm, FrameType::kControl, PackFleetMessage(message));
  };
  params.term = [this] { return host_->quorum().vote.term; };
  // The leadership hook runs a while after the role has changed.
  params.leads = [this] {
    return host_->leading() || host_->quorum().role == QuorumRole::kLeader;
  };
  params.members = [this] {
    std::vector<VmId> others;
    for (const auto& [id, member] : host_->quorum().config.members) {
      if (id != host_->quorum().self) others.push_back(member.vm);
    }
    return others;
  };
  return params;
}

KeyAuthorityServerParams FleetController::KeyAuthorityParams() {
  KeyAuthorityServerParams params;
  params.self = MemberVm(params_.listen);
  params.own = [this] { return OwnKeyGrant(); };
  params.keepers = [this] { return keepers_; };
  params.send_to_leader = [this](const FleetMessage& message) {
    return SendToLeader(message);
  };
  return params;
}

Status FleetController::Start() {
  QuorumHostSettings settings;
  settings.vm = MemberVm(params_.listen);
  settings.listen = params_.listen;
  settings.data_folder = params_.data_folder;
  settings.snapshot_after = kSnapshotAfter;
  settings.snapshot_bytes = kSnapshotBytes;
  settings.may_bootstrap = params_.may_bootstrap;
  settings.timing = kTiming;
  settings.first_election_timeout = kFirstElection;
  settings.tick = kTick;
  settings.replace_silent_after = kReplaceAfter;
  BOOST_OUTCOME_TRY(host, QuorumHost::Open(*params_.io, std::move(settings)));
  host_ = host;
  LoadDirectory();
  host_->Start(ToSeeds(params_.seeds), Hooks());
  return Ok();
}

void FleetController::Stop() {
  if (!host_) return;
  host_->Stop();
  for (const auto& [group, run] : replacements_) run->Stop();
  replacements_.clear();
  relays_.clear();
  waiting_.clear();
  for (const LinkPtr& link : notices_) link->Close();
  notices_.clear();
}

void FleetController::SetSeeds(const std::vector<Address>& seeds) {
  params_.seeds = seeds;
  host_->SetSeeds(ToSeeds(seeds));
}

QuorumHooks FleetController::Hooks() {
  // Capturing `this` is safe: the destructor stops the host, and a stopped host
  // calls no hooks.
  QuorumHooks hooks;
  hooks.apply = [this](const LogEntry& entry) { Apply(entry); };
  hooks.restore = [this](const std::string& bytes) { Restore(bytes); };
  hooks.pack = [this] {
    return Pack(
        ReplicatedState{layout_.version, layout_.text, orders_, keepers_});
  };
  hooks.on_leadership_change = [this](bool is_leader) {
    OnLeadershipChange(is_leader);
  };
  hooks.on_confirmed = [this](Round round) { rounds_.OnConfirmed(round); };
  hooks.on_tick = [this](Time now) { OnTick(now); };
  hooks.after_output = [] {};
  hooks.on_frame = [this](const LinkPtr& link, FrameType type,
                          std::string_view body) {
    if (type == FrameType::kControl) OnFrame(link, body);
  };
  hooks.on_link_lost = [this](const LinkPtr& link) { OnLinkLost(link); };
  hooks.on_member_link = [this](const VmId& vm) {
    DirectoryPush push;
    push.delta = FullDelta(directory_);
    host_->SendTo(vm, FrameType::kControl, PackFleetMessage(push));
  };
  hooks.admits = [](const MemberHello&) { return true; };
  hooks.excludes = [](const VmId&) { return false; };
  hooks.on_failure = params_.on_failure;
  return hooks;
}

void FleetController::OnLeadershipChange(bool is_leader) {
  rounds_.Abandon();
  std::map<LogIndex, PendingPut> pending = std::exchange(pending_, {});
  for (auto& [index, put] : pending) put.done({});
  for (const auto& [group, run] : replacements_) run->Stop();
  replacements_.clear();
  changes_ = 0;
  tokens_ = 0;
  confirmed_.clear();
  copies_.clear();
  leases_.OnLeadershipChange(is_leader);
  if (!is_leader) return;
  next_review_.clear();
  BeginKeepers(keeper_ledger_, keepers_,
               params_.keeper_grant.value_or(Duration()), Now());
}

void FleetController::OnFrame(const LinkPtr& link, std::string_view body) {
  Result<FleetMessage> read = UnpackVariant<FleetMessage>(body);
  if (!read) {
    LogLine(LogLevel::kWarn, "fleet_message_refused")
        .Field("from", link->remote())
        .Field("error", ToString(read.error()));
    OnLinkLost(link);
    return host_->Drop(link);
  }
  const FleetMessage& message = read.value();
  if (const auto* report = std::get_if<RelayReport>(&message))
    return OnRelayReport(link, *report);
  if (const auto* trouble = std::get_if<TroubleReport>(&message))
    return OnTrouble(*trouble);
  if (const auto* request = std::get_if<PrimaryLeaseRequest>(&message))
    return OnLeaseRequest(link, *request);
  if (const auto* request = std::get_if<GrantableRequest>(&message))
    return OnGrantableRequest(*request);
  if (const auto* answer = std::get_if<GrantableAnswer>(&message))
    return leases_.OnGrantableAnswer(*answer);
  if (const auto* revocation = std::get_if<LeaseRevocation>(&message))
    return leases_.OnRevocation(*revocation);
  if (const auto* revoked = std::get_if<LeaseRevoked>(&message))
    return leases_.OnRevoked(link.get(), *revoked);
  if (const auto* request = std::get_if<AuthorityRequest>(&message))
    return OnAuthorityRequest(link, *request);
  if (const auto* grant = std::get_if<AuthorityGrant>(&message))
    return key_authority_.OnGrant(*grant);
  if (const auto* push = std::get_if<DirectoryPush>(&message))
    return TakeDelta(push->delta, true);
}

void FleetController::OnLinkLost(const LinkPtr& link) {
  relays_.erase(link.get());
  waiting_.erase(link.get());
  leases_.OnLinkLost(link.get());
  key_authority_.OnLinkLost(link.get());
}

bool FleetController::SendToLeader(const FleetMessage& message) {
  const QuorumState& quorum = host_->quorum();
  auto leader = quorum.config.members.find(quorum.leader);
  bool known =
      leader != quorum.config.members.end() && quorum.leader != quorum.self;
  if (!known || !host_->Connected(leader->second.vm)) return false;
  host_->SendTo(leader->second.vm, FrameType::kControl,
                PackFleetMessage(message));
  return true;
}

/// Merges `delta` into the directory. A delta that did not come from another
/// member is queued for the other members, too, and so are endpoints that it
/// shows to be alive.
void FleetController::TakeDelta(const DirectoryDelta& delta, bool from_member) {
  Time now = Now();
  DirectoryDelta revived;
  revived.endpoints =
      FindRevived(&revival_evidence_, directory_, delta.endpoints, now);
  DirectoryDelta changed = Merge(directory_, delta, now);
  Append(&changed, Merge(directory_, revived, now));
  if (!from_member) Append(&to_members_, delta);
  Append(&to_members_, revived);
  for (const EndpointRecord& record : revived.endpoints) {
    LogLine(LogLevel::kInfo, "endpoint_revived")
        .Field("endpoint", record.id)
        .Field("born_ms", record.started_ms)
        .Field("sequence", record.sequence)
        .Field("revivals", record.revivals);
  }
  OnDirectoryChange(changed, !from_member);
}

/// Queues changed records for the connected relays.
void FleetController::OnDirectoryChange(const DirectoryDelta& changed,
                                        bool first_hand) {
  Append(&to_relays_, changed);
  if (!changed.Empty()) cache_due_ = true;
  for (const EndpointRecord& record : changed.endpoints) {
    LogLine(LogLevel::kInfo, "endpoint")
        .Field("endpoint", record.id)
        .Field("group", record.group)
        .Field("address", ToString(record.address))
        .Field("leaving", record.leaving)
        .Field("gone", record.gone)
        .Field("claims_lead", record.claims_primary)
        .Field("born_ms", record.started_ms)
        .Field("sequence", record.sequence)
        .Field("revivals", record.revivals)
        .Field("first_hand", first_hand);
    NoteCopies(record.group);
  }
}

DirectoryPush FleetController::BarePush() const {
  DirectoryPush push;
  for (const auto& [id, member] : host_->quorum().config.members)
    push.members.push_back(member.address);
  return push;
}

void FleetController::ExpireRecords(Time now) {
  if (now < next_expiry_) return;
  next_expiry_ = now + kExpiryInterval;
  OnDirectoryChange(Expire(directory_, now), false);
  ExpireEvidence(&revival_evidence_, now);
}

void FleetController::OnTick(Time now) {
  bool has_leader_contact = host_->HasLeaderContact(now);
  if (!has_leader_contact && !out_of_touch_) SendFarewells();
  ServeWaiting(now, has_leader_contact);
  if (has_leader_contact) NotifyFormerRelays(now);
  out_of_touch_ = !has_leader_contact;
  AdmitUnnamed(now);
  ExpireRecords(now);
  leases_.OnTick(now);
  key_authority_.OnTick(now);
  if (host_->leading()) {
    rounds_.StartIfDue();
    ReviewPrimaries(now);
    ReviewKeepers(now);
  }
  if (now < next_flush_) return;
  next_flush_ = now + kFlushInterval;
  Flush();
  SaveDirectory(now);
}

/// Restores the announcements from before a restart, used until the endpoints
/// announce themselves again. Stale entries are harmless: an endpoint rejects
/// connections meant for another one, and writes if it is not the primary; and
/// a primary is confirmed before relays get leases on it.
void FleetController::LoadDirectory() {
  std::optional<std::string> relays =
      ReadRecordFile(params_.data_folder / kRelaysFile);
  if (relays) {
    Result<std::vector<Address>> known = Unpack<std::vector<Address>>(*relays);
    if (known)
      former_relays_ = std::move(known.value());
    else
      LogLine(LogLevel::kWarn, "relays_copy_refused")
          .Field("error", ToString(known.error()));
  }
  std::optional<std::string> bytes =
      ReadRecordFile(params_.data_folder / kCacheFile);
  if (!bytes) return;
  Result<DirectoryDelta> delta = Unpack<DirectoryDelta>(*bytes);
  if (!delta) {
    LogLine(LogLevel::kWarn, "directory_copy_refused")
        .Field("error", ToString(delta.error()));
    return;
  }
  Merge(directory_, delta.value(), Now());
}

void FleetController::SaveDirectory(Time now) {
  // The leader skips this write to avoid unnecessary blocking on the disk.
  if (!cache_due_ || now < next_cache_ || host_->leading()) return;
  cache_due_ = false;
  next_cache_ = now + kCacheInterval;
  DirectoryDelta kept = FullDelta(directory_);
  // Relays report themselves as soon as they reconnect.
  kept.relays.clear();
  std::vector<Address> relays;
  for (const auto& [vm, record] : directory_.relays) {
    if (!record.gone) relays.push_back(record.address);
  }
  Status saved = WriteRecordFile(params_.data_folder / kCacheFile, Pack(kept));
  if (saved)
    saved = WriteRecordFile(params_.data_folder / kRelaysFile, Pack(relays));
  if (saved) return;
  cache_due_ = true;
  LogLine(LogLevel::kWarn, "directory_copy_failed")
      .Field("error", ToString(saved.error()));
}

}  // namespace cardamomchute
