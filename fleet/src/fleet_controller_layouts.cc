/// Layouts at a control member: accepted, applied, and pushed to relays.
#include <algorithm>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/fleet/fleet_controller.h"

namespace cardamomchute {
namespace {

/// Minimum interval between two pushes of layouts to relays. Versions in
/// between are skipped, as only the newest is in force.
constexpr Duration kLayoutPushInterval = Millis(500);
/// A relay that has not confirmed a layout after this long is named in the log.
constexpr Duration kLayoutOverdue = Seconds(2);
/// Maximum number of layouts kept as bases of differences; each may have a
/// megabyte.
constexpr size_t kMaxBases = 3;

}  // namespace

void FleetController::Apply(const LogEntry& entry) {
  applied_term_ = entry.term;
  if (entry.kind == EntryKind::kCommand) {
    Result<ReplicatedState> state = Unpack<ReplicatedState>(entry.command);
    if (!state) return host_->Fail(state.error());
    for (auto& [group, orders] : state.value().orders)
      orders_[group] = std::move(orders);
    TakeKeepers(std::move(state.value().keepers));
    if (state.value().version > layout_.version) {
      LogLine(LogLevel::kInfo, "layout_applied")
          .Field("version", state.value().version)
          .Field("index", entry.index)
          .Field("bytes", state.value().text.size());
      TakeLayout(std::move(state.value()));
    }
  }
  auto pending = pending_.find(entry.index);
  if (pending == pending_.end()) return;
  LayoutDone done = std::move(pending->second.done);
  bool same = pending->second.term == entry.term;
  pending_.erase(pending);
  LayoutResult answer;
  if (same) answer.outcome = CallOutcome::kDone;
  done(std::move(answer));
}

void FleetController::Restore(const std::string& bytes) {
  if (bytes.empty()) return;
  Result<ReplicatedState> state = Unpack<ReplicatedState>(bytes);
  if (!state) return host_->Fail(state.error());
  orders_ = std::move(state.value().orders);
  TakeKeepers(std::move(state.value().keepers));
  if (state.value().version > layout_.version)
    TakeLayout(std::move(state.value()));
}

void FleetController::TakeLayout(ReplicatedState state) {
  layout_ = StoredLayout{state.version, std::move(state.text)};
  parsed_.reset();
  layout_due_ = true;
  layout_since_ = Now();
}

const Layout* FleetController::ParsedLayout() const {
  if (layout_.version == 0) return nullptr;
  if (parsed_) return &*parsed_;
  Result<Layout> parsed = params_.parse_layout(layout_.text);
  if (!parsed) {
    host_->Fail(parsed.error());
    return nullptr;
  }
  parsed_ = std::move(parsed.value());
  return &*parsed_;
}

LayoutResult FleetController::Elsewhere() const {
  LayoutResult answer;
  const QuorumState& quorum = host_->quorum();
  auto leader = quorum.config.members.find(quorum.leader);
  bool known = leader != quorum.config.members.end() &&
               quorum.leader != quorum.self && host_->HasLeaderContact(Now());
  if (!known) return answer;
  answer.outcome = CallOutcome::kOtherLeader;
  answer.leader = leader->second.address.host;
  return answer;
}

void FleetController::PutLayout(std::string text, LayoutDone done) {
  Result<Layout> read = params_.parse_layout(text);
  if (!read) {
    LogLine(LogLevel::kInfo, "layout_refused")
        .Field("error", ToString(read.error()));
    return done({CallOutcome::kInvalid, ToString(read.error()), ""});
  }
  if (!host_->leading()) return done(Elsewhere());
  uint64_t version = read.value().version;
  LogLine(LogLevel::kInfo, "layout_submitted")
      .Field("version", version)
      .Field("held", layout_.version)
      .Field("routes", read.value().routes.size());
  if (version <= layout_.version) {
    rounds_.Add({[done] {
                   done({CallOutcome::kDone, "", ""});
                 },
                 [done] { done({}); }});
    return;
  }
  std::optional<LogIndex> index =
      host_->ProposeBytes(Pack(ReplicatedState{version, std::move(text), {}}));
  if (!index) return done(Elsewhere());
  pending_[*index] = PendingPut{host_->quorum().vote.term, std::move(done)};
}

void FleetController::GetLayout(LayoutDone done) {
  if (!host_->leading()) return done(Elsewhere());
  rounds_.Add({[this, done] {
                 if (layout_.version == 0) return done({});
                 done({CallOutcome::kDone, layout_.text, ""});
               },
               [done] { done({}); }});
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

const std::string& FleetController::PackedChange(
    const Base& base, std::map<uint64_t, std::string>* packed) const {
  std::string& bytes = (*packed)[base.first];
  if (!bytes.empty()) return bytes;
  DirectoryPush push = BarePush();
  push.layout_change = LayoutChange{base.first, layout_.version,
                                    MakeTextDelta(base.second, layout_.text)};
  bytes = PackForRelay(push);
  return bytes;
}

void FleetController::SendLayout(ConnectedRelay* relay,
                                 const std::string& message, Time now) const {
  relay->link->Send(FrameType::kControl, message);
  relay->layout.sent = layout_.version;
  relay->layout.sent_at = now;
}

/// Pushes the newest of several layouts, as relays may have little bandwidth.
void FleetController::PushLayout(Time now) {
  if (!layout_due_ || now < next_layout_push_) return;
  layout_due_ = false;
  next_layout_push_ = now + kLayoutPushInterval;
  DirectoryPush whole = BarePush();
  whole.layout = layout_;
  std::map<bool, std::string> packed_whole;
  std::map<uint64_t, std::string> packed_changes;
  size_t waiting = 0;
  size_t changes = 0;
  size_t wholes = 0;
  size_t bytes = 0;
  for (auto& [key, relay] : relays_) {
    auto base = bases_.find(relay.layout.sent);
    LayoutPush push = NextLayoutPush(relay.layout, layout_.version,
                                     base != bases_.end(), now);
    if (push == LayoutPush::kNone) continue;
    if (push == LayoutPush::kWait) {
      layout_due_ = true;
      ++waiting;
      continue;
    }
    bool is_change = push == LayoutPush::kChange;
    const std::string& message = is_change
                                     ? PackedChange(*base, &packed_changes)
                                     : PackedFor(relay, whole, &packed_whole);
    ++(is_change ? changes : wholes);
    bytes += message.size();
    SendLayout(&relay, message, now);
  }
  RetainBases();
  if (changes + wholes + waiting == 0) return;
  LogLine(LogLevel::kInfo, "layout_pushed")
      .Field("version", layout_.version)
      .Field("changes", changes)
      .Field("whole", wholes)
      .Field("bytes", bytes)
      .Field("waiting", waiting);
}

/// Keeps the texts that relays hold, and the one they were just sent.
void FleetController::RetainBases() {
  std::set<uint64_t> held = {layout_.version};
  for (const auto& [key, relay] : relays_) held.insert(relay.layout.sent);
  std::erase_if(
      bases_, [&held](const Base& base) { return !held.contains(base.first); });
  bases_.try_emplace(layout_.version, layout_.text);
  if (bases_.size() > kMaxBases) bases_.erase(bases_.begin());
}

}  // namespace cardamomchute
