/// A session's connection: what is read and written when, and its end.
#include <boost/asio/write.hpp>
#include <utility>

#include "cardamomchute/base/log.h"
#include "relayed_session.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr size_t kReadBytes = 2 * 1024;
/// Requests beyond this stay in the caller's connection until those before them
/// are answered.
constexpr size_t kMaxAheadBytes = 16 * 1024;
/// Beyond this, no further request is taken until the caller has read answers.
constexpr size_t kMaxUnreadBytes = 32 * 1024;
/// A buffer that has grown beyond this is given back once it is empty.
constexpr size_t kKeptBufferBytes = 16 * 1024;

void GiveBack(std::string* buffer) {
  if (buffer->capacity() > kKeptBufferBytes) std::string().swap(*buffer);
}

}  // namespace

void RelayedSession::Start() {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  Read();
}

/// Reads on, unless the caller has to read first, or has sent enough ahead.
void RelayedSession::Read() {
  bool enough = in_used_ >= kMaxAheadBytes && (attempt_ || HasUnread());
  if (reading_ || closed_ || enough) return;
  reading_ = true;
  if (in_.size() < in_used_ + kReadBytes) in_.resize(in_used_ + kReadBytes);
  std::shared_ptr<RelayedSession> self = shared_from_this();
  socket_.async_read_some(
      asio::buffer(in_.data() + in_used_, in_.size() - in_used_),
      [self](error_code error, size_t count) {
        self->reading_ = false;
        if (self->closed_) return;
        if (error) return self->Close();
        self->in_used_ += count;
        self->last_progress_ = Now();
        self->Parse();
        self->NoteHeld();
        self->Read();
      });
}

bool RelayedSession::HasUnread() const {
  return queued_.size() + writing_.size() >= kMaxUnreadBytes;
}

/// One statement at a time: the next waits in the buffer.
void RelayedSession::Parse() {
  size_t at = 0;
  while (!closed_ && !close_after_write_ && !attempt_ && !HasUnread()) {
    Result<Decoded<CallerMessage>> decoded =
        relay_->params().caller_protocol.decode(
            std::string_view(in_.data() + at, in_used_ - at));
    if (!decoded) {
      LogLine(LogLevel::kInfo, "caller_refused")
          .Field("session", number_)
          .Field("error", ToString(decoded.error()));
      return Close();
    }
    if (decoded.value().used == 0) break;
    at += decoded.value().used;
    OnMessage(std::move(*decoded.value().message));
  }
  in_.erase(0, at);
  in_used_ -= at;
  if (in_used_ == 0 && !reading_) GiveBack(&in_);
}

void RelayedSession::Answer(const StatementResult& result) {
  const CallerProtocol& protocol = relay_->params().caller_protocol;
  protocol.encode_result(result, &queued_);
  protocol.encode_ready(State(), at_, &queued_);
  served_ = true;
  last_use_ = Now();
  if (writing_.empty()) Write();
}

void RelayedSession::Write() {
  if (closed_ || queued_.empty()) return;
  writing_.swap(queued_);
  queued_.clear();
  std::shared_ptr<RelayedSession> self = shared_from_this();
  asio::async_write(socket_, asio::buffer(writing_),
                    [self](error_code error, size_t) {
                      if (self->closed_) return;
                      if (error) return self->Close();
                      self->writing_.clear();
                      self->last_progress_ = Now();
                      GiveBack(&self->writing_);
                      self->NoteHeld();
                      if (self->closed_) return;
                      if (!self->queued_.empty()) return self->Write();
                      if (self->close_after_write_) return self->Close();
                      if (!self->attempt_ && self->in_used_ > 0) self->Parse();
                      self->Read();
                      // A caller that always has a request under way is hardly
                      // ever found idle otherwise.
                      if (self->relay_->ClosesAfterAnswers())
                        self->CloseIfIdle();
                    });
}

void RelayedSession::EndIdleTransaction(Time now) {
  bool open = transaction_ == Transaction::kOpen && !attempt_;
  std::shared_ptr<const Layout> layout = relay_->layout();
  if (!open || !layout || now - last_use_ < layout->idle_transaction) return;
  LogLine(LogLevel::kInfo, "idle_transaction_ended")
      .Field("session", number_)
      .Field("endpoint", target_->endpoint.id)
      .Field("idle_ms", (now - last_use_).ms());
  AbandonTransaction();
  transaction_ = Transaction::kFailed;
}

void RelayedSession::CloseIfStalled(Time now) {
  SessionProgress progress;
  progress.greeted = greeted_;
  progress.message_begun = in_used_ > 0 && !attempt_ && !HasUnread();
  progress.answer_unread = !writing_.empty();
  progress.last_progress = last_progress_;
  if (!Stalled(progress, relay_->params().limits, now)) return;
  relay_->NoteClosed("stalled");
  Close();
}

SessionUse RelayedSession::Use() const {
  SessionUse use;
  use.number = number_;
  use.last_use = last_use_;
  use.bytes = held_bytes_;
  bool busy = attempt_ || transaction_ != Transaction::kNone;
  use.stage = busy       ? SessionStage::kBusy
              : served_  ? SessionStage::kIdle
              : greeted_ ? SessionStage::kGreeted
                         : SessionStage::kConnected;
  return use;
}

void RelayedSession::NoteHeld() {
  if (closed_) return;
  size_t held =
      in_.capacity() + queued_.capacity() + writing_.capacity() + state_bytes_;
  if (attempt_) held += attempt_->text.size() + attempt_->statement.text.size();
  size_t before = std::exchange(held_bytes_, held);
  relay_->NoteHeld(before, held);
}

void RelayedSession::Close() {
  if (closed_) return;
  closed_ = true;
  relay_->NoteHeld(std::exchange(held_bytes_, 0), 0);
  timer_.cancel();
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  // A statement that still waits for its turn need not run any more.
  AbandonTransaction();
  attempt_ = nullptr;
  relay_->Remove(shared_from_this());
}

}  // namespace cardamomchute
