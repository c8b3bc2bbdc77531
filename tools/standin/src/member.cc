#include "member.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

#include "cardamomchute/base/log.h"

namespace cardamomchute::standin {
namespace {

constexpr uint64_t kEntryHeaderBytes = 48;
constexpr uint64_t kAlignment = 8;

uint64_t SizeOf(const std::vector<Change>& changes) {
  uint64_t size = kEntryHeaderBytes;
  for (const Change& change : changes) {
    size += kEntryHeaderBytes + change.key.size();
    for (const Value& v : change.row) size += v.text.size();
  }
  return (size + kAlignment - 1) / kAlignment * kAlignment;
}

}  // namespace

Member::Member(boost::asio::any_io_executor executor, bool primary,
               Duration lag, HistoryFile history)
    : replay_timer_(executor),
      primary_(primary),
      lag_(lag),
      history_(std::move(history)) {}

Position Member::received() const {
  return log_.empty() ? kFirstPosition : log_.back()->end;
}

Position Member::replayed() const {
  return applied_ == 0 ? kFirstPosition : log_[applied_ - 1]->end;
}

Position Member::Commit(std::vector<Change> changes) {
  std::shared_ptr<LogEntry> entry = std::make_shared<LogEntry>();
  entry->term = term();
  entry->start = received();
  entry->end = Position(received().value() + SizeOf(changes));
  entry->changes = std::move(changes);
  log_.push_back(entry);
  for (const Change& change : entry->changes) store_.Apply(change);
  ++applied_;
  history_.Note("commit", *entry);
  Notify();
  return entry->end;
}

void Member::ApplyNext(bool noted) {
  const LogEntry& entry = *log_[applied_];
  for (const Change& change : entry.changes) store_.Apply(change);
  ++applied_;
  if (noted) history_.Note("replay", entry);
}

void Member::Promote() {
  while (applied_ < log_.size()) ApplyNext(true);
  arrivals_.clear();
  primary_ = true;
  ++reign_;
  timeline_.push_back(TermStart{term().Next(), received()});
  history_.Note("promote", term(), received());
  LogLine(LogLevel::kInfo, "promote")
      .Field("term", term())
      .Field("position", received());
  Notify();
}

void Member::Demote() {
  if (!primary_) return;
  primary_ = false;
  ++reign_;
  LogLine(LogLevel::kInfo, "demote")
      .Field("term", term())
      .Field("position", received());
  Notify();
}

void Member::Adopt(const Timeline& timeline, Position end) {
  if (end < received()) {
    size_t keep = IndexAt(end);
    LogLine(LogLevel::kWarn, "discard")
        .Field("from", end)
        .Field("to", received())
        .Field("entries", log_.size() - keep);
    log_.resize(keep);
    size_t pending = log_.size() - std::min(applied_, log_.size());
    arrivals_.resize(pending, Clock::now());
    if (applied_ > keep) Rebuild(keep);
    history_.Note("discard", timeline.back().term, end);
  }
  timeline_ = timeline;
  Notify();
}

void Member::Rebuild(size_t entries) {
  store_ = Store();
  applied_ = 0;
  while (applied_ < entries) ApplyNext(false);
}

void Member::Receive(LogEntryPtr entry) {
  log_.push_back(std::move(entry));
  arrivals_.push_back(Clock::now());
  ReplayDue();
  Notify();
}

void Member::SetLag(Duration lag) {
  lag_ = lag;
  ReplayDue();
}

void Member::ReplayDue() {
  Clock::time_point due_before =
      Clock::now() - std::chrono::milliseconds(lag_.ms());
  while (!arrivals_.empty() && arrivals_.front() <= due_before) {
    arrivals_.pop_front();
    ApplyNext(true);
  }
  if (arrivals_.empty()) return;
  replay_timer_.expires_at(arrivals_.front() +
                           std::chrono::milliseconds(lag_.ms()));
  replay_timer_.async_wait([this](boost::system::error_code failed) {
    if (!failed) ReplayDue();
  });
}

std::vector<LogEntryPtr> Member::EntriesFrom(size_t from, size_t limit) const {
  size_t end = std::min(log_.size(), from + limit);
  if (from >= end) return {};
  return {log_.begin() + static_cast<ptrdiff_t>(from),
          log_.begin() + static_cast<ptrdiff_t>(end)};
}

size_t Member::IndexAt(Position position) const {
  auto found = std::lower_bound(
      log_.begin(), log_.end(), position,
      [](const LogEntryPtr& e, Position p) { return e->start < p; });
  return static_cast<size_t>(found - log_.begin());
}

uint64_t Member::Listen(Listener listener) {
  listeners_.emplace_back(++last_listener_, std::move(listener));
  return last_listener_;
}

void Member::Unlisten(uint64_t id) {
  std::erase_if(listeners_,
                [id](const auto& entry) { return entry.first == id; });
}

void Member::Notify() {
  for (const auto& [id, listener] : listeners_) listener();
}

std::string Member::NextRowKey() {
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%08" PRIx64 "%016" PRIx64,
                term().value(), ++last_row_);
  return text.data();
}

}  // namespace cardamomchute::standin
