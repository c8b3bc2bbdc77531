/// What a control member sends to relays besides layouts: the directory, leases
/// and where control is.
#include <algorithm>
#include <iterator>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/fleet/fleet_controller.h"
#include "cardamomchute/relay/run.h"

namespace cardamomchute {
namespace {

/// A relay that connects while no leader is known is kept this long before it
/// is sent to another member.
constexpr Duration kWaitForLeader = Millis(600);
/// Control members that notify each former relay, as some may not be back yet.
constexpr size_t kNoticesPerRelay = 3;
constexpr Duration kNoticeTimeout = Millis(500);
/// The packed directory is dropped when no relay has connected for this long.
constexpr Duration kPackedDirectoryKept = Seconds(1);
/// The directory is packed anew once more than one record in this many has
/// changed.
constexpr size_t kMaxChangedPart = 4;

}  // namespace

void FleetController::OnLeaseRequest(const LinkPtr& link,
                                     const PrimaryLeaseRequest& request) {
  std::weak_ptr<Link> weak = link;
  leases_.OnRequest(link.get(), request, [weak](const FleetMessage& message) {
    LinkPtr to = weak.lock();
    if (to) to->Send(FrameType::kControl, PackFleetMessage(message));
  });
}

void FleetController::OnGrantableRequest(const GrantableRequest& request) {
  // A later leader revokes leases at the members that it knows: this one must
  // be part of a configuration that no later leader can miss.
  const QuorumState& quorum = host_->quorum();
  bool known = std::any_of(
      quorum.config.members.begin(), quorum.config.members.end(),
      [&request](const auto& item) { return item.second.vm == request.from; });
  if (!known || quorum.config_index > quorum.commit) return;
  std::optional<GrantableAnswer> answer = leases_.OnGrantableRequest(request);
  if (!answer) return;
  host_->SendTo(request.from, FrameType::kControl, PackFleetMessage(*answer));
}

void FleetController::OnAuthorityRequest(const LinkPtr& link,
                                         const AuthorityRequest& request) {
  std::weak_ptr<Link> weak = link;
  key_authority_.OnRequest(
      link.get(), request,
      [this, weak, member = request.member](const AuthorityGrant& grant) {
        std::string message = PackFleetMessage(grant);
        if (member != VmId())
          return host_->SendTo(member, FrameType::kControl, message);
        LinkPtr to = weak.lock();
        if (to) to->Send(FrameType::kControl, message);
      });
}

std::optional<KeyGrant> FleetController::OwnKeyGrant() const {
  // What earlier leaders committed is known once this term's first entry was
  // applied.
  if (!params_.key_revocation || !host_ || !host_->leading() || !KnowsOrders())
    return std::nullopt;
  std::optional<Time> confirmed_at = host_->quorum().confirmed_at;
  if (!confirmed_at || layout_.version == 0) return std::nullopt;
  return GrantFromRound(*confirmed_at, layout_.version,
                        *params_.key_revocation);
}

void FleetController::OnRelayReport(const LinkPtr& link,
                                    const RelayReport& report) {
  bool first = !relays_.contains(link.get());
  if (first && !host_->HasLeaderContact(Now())) {
    waiting_.try_emplace(link.get(),
                         WaitingRelay{link, report, Now() + kWaitForLeader});
    return;
  }
  ConnectedRelay& relay = relays_[link.get()];
  relay.link = link;
  relay.vm = report.relay.vm;
  relay.layout.takes_changes = report.takes_changes;
  relay.layout.confirmed = report.layout_version;
  if (first) relay.layout.sent = report.layout_version;
  auto known = directory_.relays.find(relay.vm);
  bool same = !first && known != directory_.relays.end() &&
              known->second.started_ms == report.relay.started_ms &&
              known->second.sequence == report.relay.sequence;
  if (same) return;
  DirectoryDelta delta;
  delta.relays.push_back(report.relay);
  TakeDelta(delta, false);
}

/// Serves relays that connected while no leader was known, or sends them to
/// another member once their wait has expired.
void FleetController::ServeWaiting(Time now, bool has_leader_contact) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (!has_leader_contact && now < it->second.until) {
      ++it;
      continue;
    }
    WaitingRelay relay = it->second;
    it = waiting_.erase(it);
    if (has_leader_contact) {
      OnRelayReport(relay.link, relay.report);
      continue;
    }
    relay.link->Send(FrameType::kControl,
                     PackFleetMessage(Farewell{BarePush().members}));
  }
}

const std::string& FleetController::PackedFor(
    const ConnectedRelay& relay, const FleetMessage& message,
    std::map<bool, std::string>* packed) {
  bool compressed = relay.layout.takes_changes;
  std::string& bytes = (*packed)[compressed];
  if (bytes.empty())
    bytes = compressed ? PackForRelay(message) : PackFleetMessage(message);
  return bytes;
}

/// Packs the directory anew, unless the one that was packed a moment ago can
/// still serve, followed by the changes since.
void FleetController::RenewPackedDirectory() {
  bool current = packed_directory_ &&
                 packed_directory_->layout_version == layout_.version &&
                 packed_directory_->changes.size() * kMaxChangedPart <=
                     packed_directory_->push.delta.size();
  if (current) return;
  PackedDirectory fresh;
  fresh.push = BarePush();
  fresh.push.delta = FullDelta(directory_);
  fresh.layout_version = layout_.version;
  packed_directory_ = std::move(fresh);
}

const std::string& FleetController::PackedDirectoryFor(
    const ConnectedRelay& relay) {
  PackedDirectory& directory = *packed_directory_;
  bool needs_layout = layout_.version > relay.layout.sent;
  std::map<bool, std::string>& packed =
      needs_layout ? directory.with_layout : directory.without_layout;
  bool is_packed = packed.contains(relay.layout.takes_changes);
  if (needs_layout && !is_packed) directory.push.layout = layout_;
  const std::string& bytes = PackedFor(relay, directory.push, &packed);
  directory.push.layout.reset();
  return bytes;
}

/// Sends the whole directory to relays that have connected since the last call:
/// after a restart many do, and one message serves them all.
void FleetController::SendDirectoryToNewRelays(Time now) {
  bool any = std::any_of(relays_.begin(), relays_.end(), [](const auto& item) {
    return !item.second.has_directory;
  });
  if (!any) {
    if (now >= packed_until_) packed_directory_.reset();
    return;
  }
  packed_until_ = now + kPackedDirectoryKept;
  RenewPackedDirectory();
  std::string bare = PackFleetMessage(BarePush());
  DirectoryPush changes = BarePush();
  changes.delta = packed_directory_->changes;
  std::map<bool, std::string> packed_changes;
  for (auto& [key, relay] : relays_) {
    if (std::exchange(relay.has_directory, true)) continue;
    // A link accepts only a short frame first.
    relay.link->Send(FrameType::kControl, bare);
    const std::string& directory = PackedDirectoryFor(relay);
    if (layout_.version > relay.layout.sent)
      SendLayout(&relay, directory, now);
    else
      relay.link->Send(FrameType::kControl, directory);
    if (changes.delta.Empty()) continue;
    relay.link->Send(FrameType::kControl,
                     PackedFor(relay, changes, &packed_changes));
  }
}

/// Pushes queued changes.
void FleetController::Flush() {
  if (!to_relays_.Empty()) {
    DirectoryPush push = BarePush();
    push.delta = std::exchange(to_relays_, DirectoryDelta());
    std::map<bool, std::string> packed;
    for (const auto& [key, relay] : relays_) {
      // Others get the whole directory below.
      if (!relay.has_directory) continue;
      relay.link->Send(FrameType::kControl, PackedFor(relay, push, &packed));
    }
    if (packed_directory_) Append(&packed_directory_->changes, push.delta);
  }
  SendDirectoryToNewRelays(Now());
  PushLayout(Now());
  LogLayoutProgress(Now());
  if (to_members_.Empty()) return;
  DirectoryPush push;
  push.delta = std::exchange(to_members_, DirectoryDelta());
  host_->SendToAll(FrameType::kControl, PackFleetMessage(push));
}

/// Sends all relays to another member, since this one no longer learns what the
/// quorum accepts.
void FleetController::SendFarewells() {
  std::string message = PackFleetMessage(Farewell{BarePush().members});
  for (const auto& [key, relay] : relays_)
    relay.link->Send(FrameType::kControl, message);
  relays_.clear();
}

/// Tells relays from before a restart where control is. Only after a restart of
/// all members: others send a restarted one the directory, with the relays.
void FleetController::NotifyFormerRelays(Time now) {
  if (!notices_.empty() && now >= notices_end_) {
    for (const LinkPtr& link : notices_) link->Close();
    notices_.clear();
  }
  std::vector<Address> relays = std::exchange(former_relays_, {});
  if (relays.empty() || !directory_.relays.empty()) return;
  const std::map<MemberId, QuorumMember>& members =
      host_->quorum().config.members;
  if (members.empty()) return;
  auto self = members.find(host_->quorum().self);
  size_t rank = static_cast<size_t>(std::distance(members.begin(), self));
  ControlHint hint{BarePush().members};
  std::string message = PackVariant(RelayMessage(hint));
  notices_end_ = now + kNoticeTimeout;
  size_t notified = 0;
  for (size_t i = 0; i < relays.size(); ++i) {
    size_t distance =
        (rank + members.size() - i % members.size()) % members.size();
    if (distance >= kNoticesPerRelay) continue;
    ++notified;
    ConnectLink(
        params_.io->get_executor(), relays[i], kNoticeTimeout,
        [this, message, address = relays[i],
         alive = std::weak_ptr<QuorumHost>(host_)](const LinkPtr& link) {
          std::shared_ptr<QuorumHost> host = alive.lock();
          if (!link) {
            LogLine(LogLevel::kDebug, "former_relay_unreachable")
                .Field("relay", ToString(address));
            return;
          }
          if (!host || host->stopped()) return link->Close();
          link->Start([](FrameType, std::string_view) {},
                      [](const std::string&) {});
          link->Send(FrameType::kRelay, message);
          notices_.push_back(link);
          notices_end_ = Now() + kNoticeTimeout;
        });
  }
  LogLine(LogLevel::kInfo, "former_relays_notified")
      .Field("notified", notified)
      .Field("known", relays.size());
}

}  // namespace cardamomchute
