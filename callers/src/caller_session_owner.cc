// A session's side of its channel: statements out, answers and losses in.

#include <algorithm>
#include <random>
#include <utility>

#include "caller_session.h"
#include "content_hash.h"
#include "local_answer.h"
#include "session_reports.h"

namespace cardamomchute {
namespace {

/// Statements longer than this are not kept for a repeat.
constexpr size_t kMaxRepeatableBytes = 256 * 1024;
constexpr Duration kRollbackDeadline = Seconds(30);
constexpr Duration kFirstBackoff = Millis(5);
constexpr Duration kMaxBackoff = Millis(160);

bool MayRepeatAfterSending(StatementKind kind) {
  return kind != StatementKind::kWrite;
}

/// Doubles with each reset, with up to half of it as jitter.
Duration Backoff(uint32_t resets) {
  thread_local std::minstd_rand random{std::random_device()()};
  int64_t ms = kFirstBackoff.ms() << std::min<uint32_t>(resets, 5);
  ms = std::min(ms, kMaxBackoff.ms());
  std::uniform_int_distribution<int64_t> jitter(0, ms / 2);
  return Millis(ms + jitter(random));
}

}  // namespace

Statement CallerSession::MakeStatement(const BatchPlan& plan) {
  Statement statement;
  statement.kind = static_cast<uint8_t>(plan.kind);
  statement.rank = EffectiveRank(grant_, options_);
  statement.max_staleness = EffectiveStaleness(grant_, options_);
  bool may_carry_key = plan.writes_data || owner_status_ != 'I';
  if (may_carry_key) statement.operation_key = options_.operation_key;
  statement.setup = SetupStatements(state_);
  if (setup_revision_ != state_.revision) {
    setup_revision_ = state_.revision;
    setup_hash_ = SetupHash(statement.setup);
  }
  statement.setup_hash = setup_hash_;
  statement.prepared = plan.prepared;
  statement.changes_state = plan.changes_state;
  return statement;
}

Duration CallerSession::StatementDeadline(const Document& document, Rank rank) {
  Duration limit = document.limits.statement_timeout;
  if (rank.value() >= document.ranks.size()) return limit;
  Duration target = document.ranks[rank.value()].target;
  return target > Duration() ? target : limit;
}

void CallerSession::Send(Batch batch, BatchPlan plan, const ClusterView& view) {
  under_way_ = std::make_unique<UnderWay>();
  under_way_->started = Now();
  under_way_->in_block = owner_status_ != 'I';
  under_way_->statement = MakeStatement(plan);
  under_way_->statement.deadline =
      StatementDeadline(view.document->document, under_way_->statement.rank);
  under_way_->statement.bytes = std::move(plan.bytes);
  under_way_->statement.complete = batch.complete;
  if (!batch.complete) plan.kind = StatementKind::kWrite;
  under_way_->statement.kind = static_cast<uint8_t>(plan.kind);
  under_way_->repeatable =
      batch.complete &&
      under_way_->statement.bytes.size() <= kMaxRepeatableBytes;
  under_way_->plan = std::move(plan);
  SendStatement();
}

/// Sends what is under way, in pieces, over the session's channel.
void CallerSession::SendStatement() {
  OpenChannelIfNeeded();
  under_way_->statement.number = ++statement_number_;
  Statement first = under_way_->repeatable ? under_way_->statement
                                           : std::move(under_way_->statement);
  // What is moved away still says how the statement goes on.
  under_way_->statement.number = statement_number_;
  under_way_->statement.complete = first.complete;
  std::string rest;
  if (first.bytes.size() > kChannelChunkBytes) {
    rest = first.bytes.substr(kChannelChunkBytes);
    first.bytes.resize(kChannelChunkBytes);
  }
  bool complete = first.complete;
  first.complete = complete && rest.empty();
  ToOwnerSend(std::move(first));
  SendPieces(rest, complete);
}

void CallerSession::SendPieces(std::string_view bytes, bool complete) {
  while (!bytes.empty()) {
    std::string_view piece = bytes.substr(0, kChannelChunkBytes);
    bytes.remove_prefix(piece.size());
    ToOwnerSend(StatementData{std::string(piece), complete && bytes.empty()});
  }
}

/// Rolls back at the owner a block that the caller has been told is lost.
void CallerSession::SendRollback() {
  under_way_ = std::make_unique<UnderWay>();
  under_way_->hidden = true;
  under_way_->started = Now();
  under_way_->statement = MakeStatement(BatchPlan());
  under_way_->statement.deadline = kRollbackDeadline;
  under_way_->statement.bytes = pgwire::Query("ROLLBACK");
  SendStatement();
}

void CallerSession::LoseBlock(bool tell_owner) {
  block_lost_ = true;
  owner_status_ = 'I';
  OnTransactionLost(&state_);
  if (tell_owner && to_owner_) SendRollback();
}

void CallerSession::OpenChannelIfNeeded() {
  if (to_owner_) return;
  statement_number_ = 0;
  OpenChannel open;
  open.group = grant_.group;
  open.session = options_.session;
  open.floor = options_.floor;
  open.user = caller_.user;
  open.entry = params_->vm;
  open.entry_zone = params_->zone;
  uint64_t generation = ++channel_generation_;
  std::weak_ptr<CallerSession> weak = weak_from_this();
  to_owner_ = std::make_shared<ToOwnerSink>(
      params_->open(open, [weak, generation](FromOwner message) {
        std::shared_ptr<CallerSession> self = weak.lock();
        if (self) self->OnFromOwner(generation, std::move(message));
      }));
}

void CallerSession::DropChannel() {
  if (!to_owner_) return;
  ToOwnerSend(CloseChannel{});
  ForgetChannel();
}

void CallerSession::ForgetChannel() {
  to_owner_.reset();
  ++channel_generation_;
  unwritten_answer_ = 0;
}

void CallerSession::ToOwnerSend(ToOwner message) {
  // The owner may answer, and even reset the channel, within the call.
  std::shared_ptr<ToOwnerSink> sink = to_owner_;
  if (sink && *sink) (*sink)(std::move(message));
}

void CallerSession::OnFromOwner(uint64_t generation, FromOwner message) {
  if (closed_ || generation != channel_generation_) return;
  if (AnswerData* data = std::get_if<AnswerData>(&message)) {
    OnAnswer(std::move(*data));
  } else if (StatementEnd* end = std::get_if<StatementEnd>(&message)) {
    OnEnd(std::move(*end));
  } else {
    OnReset(std::get<ChannelReset>(message));
  }
}

void CallerSession::OnAnswer(AnswerData data) {
  bool wanted = under_way_ != nullptr && !under_way_->hidden &&
                data.number == under_way_->statement.number;
  if (!wanted) return GiveCredit(data.bytes.size());
  if (data.bytes.empty()) return;
  under_way_->answered = true;
  under_way_->watcher.Feed(data.bytes,
                           [this](AnswerEvent event) { OnEvent(event); });
  unwritten_ += data.bytes.size();
  unwritten_answer_ += data.bytes.size();
  links_.write(data.bytes);
}

void CallerSession::OnEvent(AnswerEvent event) {
  UnderWay& now = *under_way_;
  bool failed = now.watcher.failed();
  if (event == AnswerEvent::kParsed && now.parsed < now.plan.parsed.size()) {
    KeepParsed(now.plan.parsed[now.parsed++]);
  }
  bool step = event == AnswerEvent::kCompleted && !failed &&
              now.completed < now.plan.steps.size();
  if (step) OnStatementCompleted(now.plan.steps[now.completed++], &state_);
}

void CallerSession::OnEnd(StatementEnd end) {
  bool wanted =
      under_way_ != nullptr && end.number == under_way_->statement.number;
  if (!wanted) return;
  if (end.floor) options_.floor = end.floor;
  if (under_way_->hidden) {
    under_way_.reset();
    return Pump();
  }
  bool answered =
      static_cast<StatementOutcome>(end.outcome) == StatementOutcome::kAnswered;
  if (answered && under_way_->watcher.at_boundary()) {
    OnAnswered(end);
  } else {
    OnNotAnswered(end);
  }
}

void CallerSession::OnAnswered(const StatementEnd& end) {
  std::unique_ptr<UnderWay> ended = std::move(under_way_);
  bool failed = ended->watcher.failed();
  params_->counts->Count(ended->statement.rank, EntryEnding::kAnswered);
  owner_status_ = end.transaction_status;
  OnBatchEnd(owner_status_, failed, &state_);
  if (!failed) ForgetClosed(ended->plan);
  bool acknowledged =
      !failed && owner_status_ == 'I' &&
      (ended->in_block ? ended->plan.commits : ended->plan.writes_data);
  if (acknowledged) options_.operation_key = OperationKey();
  Answer("", owner_status_);
  Pump();
}

void CallerSession::OnNotAnswered(const StatementEnd& end) {
  bool not_run =
      static_cast<StatementOutcome>(end.outcome) == StatementOutcome::kNotRun;
  params_->counts->Count(
      under_way_->statement.rank,
      not_run ? EntryEnding::kNotRun : EntryEnding::kUnknown);
  bool in_block = under_way_->in_block;
  if (RollsBackWhatIsGone()) {
    return AnswerRollback(end.transaction_status != 'I');
  }
  bool over = under_way_->plan.commits && end.transaction_status == 'I';
  bool open_at_owner = end.transaction_status != 'I';
  Fail(EndingReport(end, in_block && !under_way_->plan.commits),
       in_block && !over, open_at_owner);
}

/// Ends what is under way with an error; `lose_block`: the caller's block is
/// to be ended by the caller; `open_at_owner`: there it is still open.
void CallerSession::Fail(const pgwire::Report& report, bool lose_block,
                         bool open_at_owner) {
  std::unique_ptr<UnderWay> ended = std::move(under_way_);
  if (ended->answered && !ended->watcher.at_boundary()) {
    Close();
    return links_.cut();
  }
  owner_status_ = 'I';
  OnTransactionLost(&state_);
  std::string error = pgwire::ErrorResponse(report);
  if (lose_block) {
    LoseBlock(open_at_owner);
  } else if (open_at_owner && to_owner_) {
    SendRollback();
  }
  bool whole = ended->statement.complete;
  if (whole) {
    Answer(error, status());
    return Pump();
  }
  skip_to_sync_ = true;
  unwritten_ += error.size();
  links_.write(error);
}

void CallerSession::OnReset(const ChannelReset& reset) {
  ForgetChannel();
  bool block_open = owner_status_ != 'I';
  owner_status_ = 'I';
  if (under_way_ == nullptr) {
    if (!block_open) return;
    LoseBlock(false);
    untold_ = std::make_unique<pgwire::Report>(LostBlockReport(reset.reason));
    return;
  }
  if (under_way_->hidden) {
    under_way_.reset();
    return Pump();
  }
  if (TryAgain(reset)) return;
  FailAfterReset(reset);
}

/// Whether all that is under way is a ROLLBACK of a transaction that is gone:
/// what it asks for has happened.
bool CallerSession::RollsBackWhatIsGone() const {
  const UnderWay& now = *under_way_;
  return now.in_block && !now.answered && now.repeatable &&
         now.plan.ends_block && !now.plan.commits;
}

void CallerSession::AnswerRollback(bool open_at_owner) {
  std::unique_ptr<UnderWay> ended = std::move(under_way_);
  owner_status_ = 'I';
  OnTransactionLost(&state_);
  LocalAnswer answer = AnswerLocally(
      ended->statement.bytes, ended->plan, state_,
      [this](const SqlStatement& part) { return RunLocally(part); });
  if (open_at_owner && to_owner_) SendRollback();
  Answer(answer.bytes, status());
  Pump();
}

void CallerSession::FailAfterReset(const ChannelReset& reset) {
  if (RollsBackWhatIsGone()) return AnswerRollback(false);
  const UnderWay& now = *under_way_;
  bool read = now.plan.kind == StatementKind::kRead;
  bool not_run = reset.sent_nothing && !now.in_block;
  params_->counts->Count(now.statement.rank, not_run ? EntryEnding::kNotRun
                                                     : EntryEnding::kUnknown);
  if (not_run) return Fail(NotRunReport(reset.reason), false, false);
  if (now.in_block && now.plan.commits && !reset.sent_nothing) {
    return Fail(UnknownReport(reset.reason), false, false);
  }
  if (now.in_block && now.plan.ends_block) {
    return Fail(LostBlockReport(reset.reason), false, false);
  }
  if (now.in_block) return Fail(LostBlockReport(reset.reason), true, false);
  if (read) return Fail(BrokenReadReport(reset.reason), false, false);
  Fail(UnknownReport(reset.reason), false, false);
}

/// Repeats what certainly did not run, until its deadline; and once what only
/// reads or begins, when the caller has seen nothing of its answer.
bool CallerSession::TryAgain(const ChannelReset& reset) {
  UnderWay& now = *under_way_;
  if (!now.repeatable || now.answered || now.in_block) return false;
  bool harmless = MayRepeatAfterSending(now.plan.kind) && !now.resent;
  if (!reset.sent_nothing && !harmless) return false;
  Duration left = now.statement.deadline - (Now() - now.started);
  Duration backoff = Backoff(now.resets++);
  if (backoff >= left) return false;
  now.resent = now.resent || !reset.sent_nothing;
  std::weak_ptr<CallerSession> weak = weak_from_this();
  uint64_t number = now.statement.number;
  links_.run_after(backoff, [weak, number] {
    std::shared_ptr<CallerSession> self = weak.lock();
    bool same = self && !self->closed_ && self->under_way_ &&
                self->under_way_->statement.number == number;
    if (same) self->Resend();
  });
  return true;
}

void CallerSession::Resend() {
  Duration used = Now() - under_way_->started;
  under_way_->started = Now();
  under_way_->statement.deadline = under_way_->statement.deadline - used;
  SendStatement();
}

void CallerSession::GiveCredit(size_t bytes) {
  if (bytes == 0 || !to_owner_) return;
  ToOwnerSend(Credit{static_cast<uint32_t>(bytes)});
}

}  // namespace cardamomchute
