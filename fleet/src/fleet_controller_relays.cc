/// What a control member sends to relays: layouts, the directory and leases.
#include <algorithm>
#include <iterator>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/fleet/fleet_controller.h"
#include "cardamomchute/relay/run.h"

namespace cardamomchute {
namespace {

/// Minimum interval between two layouts pushed to relays. Versions in between
/// are skipped, as only the newest is in force.
constexpr Duration kLayoutPushInterval = Millis(500);
/// A relay that connects while no leader is known is kept this long before it
/// is sent to another member.
constexpr Duration kWaitForLeader = Millis(600);
/// Control members that notify each former relay, as some may not be back yet.
constexpr size_t kNoticesPerRelay = 3;
constexpr Duration kNoticeTimeout = Millis(500);
/// A relay that has not confirmed a layout after this long is named in the log.
constexpr Duration kLayoutOverdue = Seconds(2);

}  // namespace

void FleetController::OnLeaseRequest(const LinkPtr& link,
                                     const PrimaryLeaseRequest& request) {
  std::weak_ptr<Link> weak = link;
  leases_.OnRequest(request, [weak](const PrimaryLeaseGrant& grant) {
    LinkPtr to = weak.lock();
    if (to) to->Send(FrameType::kControl, PackFleetMessage(grant));
  });
}

void FleetController::OnGrantableRequest(const GrantableRequest& request) {
  std::optional<GrantableAnswer> answer = leases_.OnGrantableRequest(request);
  if (!answer) return;
  host_->SendTo(request.from, FrameType::kControl, PackFleetMessage(*answer));
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
  relay.takes_changes = report.takes_changes;
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

size_t FleetController::RelaysBehind() const {
  return static_cast<size_t>(
      std::count_if(relays_.begin(), relays_.end(), [this](const auto& item) {
        return item.second.layout.confirmed < layout_.version;
      }));
}

/// Says once for each version when all relays of this member route by it, and
/// if some have not confirmed it in time.
void FleetController::LogLayoutProgress(Time now) {
  if (logged_confirmed_ == layout_.version || relays_.empty()) return;
  size_t behind = RelaysBehind();
  Duration since = now - layout_since_;
  if (behind == 0) {
    logged_confirmed_ = layout_.version;
    LogLine(LogLevel::kInfo, "layout_confirmed")
        .Field("version", layout_.version)
        .Field("relays", relays_.size())
        .Field("after_ms", since.ms());
    return;
  }
  if (logged_overdue_ == layout_.version || since < kLayoutOverdue) return;
  logged_overdue_ = layout_.version;
  auto oldest = std::min_element(
      relays_.begin(), relays_.end(), [](const auto& a, const auto& b) {
        return a.second.layout.confirmed < b.second.layout.confirmed;
      });
  const ConnectedRelay& relay = oldest->second;
  LogLine(LogLevel::kWarn, "layout_unconfirmed")
      .Field("version", layout_.version)
      .Field("relays", relays_.size())
      .Field("behind", behind)
      .Field("oldest_relay", relay.vm)
      .Field("oldest_version", relay.layout.confirmed)
      .Field("oldest_sent", relay.layout.sent)
      .Field("sent_ms_ago", (now - relay.layout.sent_at).ms())
      .Field("unsent_bytes", relay.link->unsent_bytes())
      .Field("after_ms", since.ms());
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
  std::string& bytes = (*packed)[relay.takes_changes];
  if (bytes.empty())
    bytes =
        relay.takes_changes ? PackForRelay(message) : PackFleetMessage(message);
  return bytes;
}

/// Sends the whole directory to relays that have connected since the last call:
/// after a restart many do, and one message serves them all.
void FleetController::SendDirectoryToNewRelays() {
  bool any = std::any_of(relays_.begin(), relays_.end(), [](const auto& item) {
    return !item.second.has_directory;
  });
  if (!any) return;
  std::string bare = PackFleetMessage(BarePush());
  DirectoryPush known = BarePush();
  known.delta = FullDelta(directory_);
  DirectoryPush with_layout = known;
  with_layout.layout = layout_;
  std::map<bool, std::string> packed;
  std::map<bool, std::string> packed_with_layout;
  for (auto& [key, relay] : relays_) {
    if (std::exchange(relay.has_directory, true)) continue;
    // A link accepts only a short frame first.
    relay.link->Send(FrameType::kControl, bare);
    bool needs_layout = layout_.version > relay.layout.sent;
    const std::string& message =
        needs_layout ? PackedFor(relay, with_layout, &packed_with_layout)
                     : PackedFor(relay, known, &packed);
    relay.link->Send(FrameType::kControl, message);
    if (!needs_layout) continue;
    relay.layout.sent = layout_.version;
    relay.layout.sent_at = Now();
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
  }
  SendDirectoryToNewRelays();
  PushLayout(Now());
  LogLayoutProgress(Now());
  if (to_members_.Empty()) return;
  DirectoryPush push;
  push.delta = std::exchange(to_members_, DirectoryDelta());
  host_->SendToAll(FrameType::kControl, PackFleetMessage(push));
}

/// Pushes the newest of several layouts: replaying the log applies many, and
/// relays may have little bandwidth.
void FleetController::PushLayout(Time now) {
  if (!layout_due_ || now < next_layout_push_) return;
  layout_due_ = false;
  next_layout_push_ = now + kLayoutPushInterval;
  DirectoryPush whole = BarePush();
  whole.layout = layout_;
  DirectoryPush change = BarePush();
  change.layout_change =
      LayoutChange{pushed_.version, layout_.version,
                   MakeTextDelta(pushed_.text, layout_.text)};
  std::map<bool, std::string> packed;
  std::map<bool, std::string> packed_change;
  size_t changes = 0;
  size_t wholes = 0;
  size_t unconfirmed = 0;
  size_t bytes = 0;
  for (auto& [key, relay] : relays_) {
    if (relay.layout.sent >= layout_.version) continue;
    bool has_base = relay.takes_changes && relay.layout.sent == pushed_.version;
    const std::string& message = has_base
                                     ? PackedFor(relay, change, &packed_change)
                                     : PackedFor(relay, whole, &packed);
    if (IsUnconfirmed(relay.layout)) ++unconfirmed;
    ++(has_base ? changes : wholes);
    bytes += message.size();
    relay.link->Send(FrameType::kControl, message);
    relay.layout.sent = layout_.version;
    relay.layout.sent_at = now;
  }
  pushed_ = layout_;
  if (changes + wholes == 0) return;
  LogLine(LogLevel::kInfo, "layout_pushed")
      .Field("version", layout_.version)
      .Field("changes", changes)
      .Field("whole", wholes)
      .Field("bytes", bytes)
      .Field("unconfirmed", unconfirmed);
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
