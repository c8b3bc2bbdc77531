#include "caller_session.h"

#include <algorithm>
#include <random>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/policy/access.h"
#include "content_hash.h"
#include "local_answer.h"
#include "session_reports.h"

namespace cardamomchute {
namespace {

/// Bytes that may wait for the caller before the next batch starts.
constexpr size_t kMaxUnwrittenBytes = 2 * kChannelWindowBytes;
/// Statements longer than this are not kept for a repeat.
constexpr size_t kMaxRepeatableBytes = 256 * 1024;
/// The longest unnamed statement that is kept beyond its batch.
constexpr size_t kMaxUnnamedBytes = 16 * 1024;
constexpr Duration kRollbackDeadline = Seconds(30);
constexpr Duration kFirstBackoff = Millis(5);
constexpr Duration kMaxBackoff = Millis(160);

bool MayRepeatAfterSending(StatementKind kind) {
  return kind != StatementKind::kWrite;
}

uint64_t RandomTag() {
  thread_local std::mt19937_64 random{std::random_device()()};
  return random();
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

CallerSession::CallerSession(const SessionParts* parts, AdmittedCaller admitted,
                             CallerLinks links)
    : parts_(parts),
      links_(std::move(links)),
      caller_(std::move(admitted.caller)),
      grant_(admitted.grant),
      options_(std::move(admitted.options)),
      session_tag_(RandomTag()),
      reported_floor_(options_.floor) {
  SetBase(std::move(admitted.setup), &state_);
}

Status CallerSession::OnMessage(const pgwire::MessageView& message) {
  if (closed_ || terminating_) return Ok();
  BOOST_OUTCOME_TRY(gathered, Gather(message, &queue_));
  if (gathered == Gathered::kTerminate) terminating_ = true;
  Continue();
  Pump();
  return Ok();
}

bool CallerSession::WantsInput() const {
  return !closed_ && !terminating_ && HasRoom(queue_);
}

bool CallerSession::idle() const {
  return under_way_ == nullptr && queue_.waiting.empty() && !queue_.open &&
         status() == 'I';
}

char CallerSession::status() const { return block_lost_ ? 'E' : owner_status_; }

bool CallerSession::CanStart() const {
  return !closed_ && under_way_ == nullptr && !skip_to_sync_ &&
         unwritten_ < kMaxUnwrittenBytes && HasReadyBatch(queue_);
}

void CallerSession::Pump() {
  if (pumping_) return;
  pumping_ = true;
  while (CanStart()) Start(TakeBatch(&queue_));
  pumping_ = false;
  // What waits for a Sync that will not come is over as well.
  bool nothing_runs = under_way_ == nullptr || !under_way_->statement.complete;
  bool done = nothing_runs && !HasReadyBatch(queue_);
  if (terminating_ && done && !closed_) {
    Close();
    links_.finish();
    return;
  }
  LeaveIfIdle();
}

void CallerSession::Start(Batch batch) {
  ViewPtr view = parts_->view();
  if (!view || !view->document) {
    return Refuse(NotRunReport("this VM has no document"));
  }
  bool between_blocks = status() == 'I';
  if (between_blocks && !RefreshGrant(*view)) return;
  PlanContext context{&state_, owner_status_ != 'I', grant_.writes,
                      session_tag_, ++batches_};
  BatchPlan plan = PlanBatch(batch.bytes, context);
  // In a failed transaction the endpoint refuses these as it does all else.
  if (owner_status_ == 'E' && !plan.steps.empty()) plan.local = false;
  if (block_lost_) return RefuseInLostBlock(batch, plan);
  if (plan.refusal) return Refuse(*plan.refusal);
  if (!plan.local) return Send(std::move(batch), std::move(plan), *view);
  if (batch.complete) return AnswerAlone(batch, plan);
  Refuse(MakeReport("0A000", "this statement can't be flushed before Sync",
                    "send Sync after it"));
}

/// Looks whether a newer document still lets the caller in; false: it does
/// not, and the caller has been told.
bool CallerSession::RefreshGrant(const ClusterView& view) {
  if (view.document->version == grant_version_) return true;
  grant_version_ = view.document->version;
  Result<Grant> grant = FindGrant(view.document->document, caller_);
  if (grant.has_error()) {
    links_.write(pgwire::ErrorResponse(AccessReport(grant.error())));
    Close();
    links_.finish();
    return false;
  }
  bool moved = grant.value().group != grant_.group;
  grant_ = grant.value();
  if (!moved) return true;
  DropChannel();
  options_.floor.reset();
  return true;
}

void CallerSession::Answer(std::string_view bytes, char transaction_status) {
  std::string answer(bytes);
  if (options_.floor && options_.floor != reported_floor_) {
    reported_floor_ = options_.floor;
    answer += pgwire::ParameterStatus("cardamomchute.floor",
                                      ToString(*options_.floor));
  }
  answer += pgwire::ReadyForQuery(transaction_status);
  unwritten_ += answer.size();
  links_.write(answer);
}

/// Answers the batch just taken out with an error.
void CallerSession::Refuse(const pgwire::Report& report) {
  parts_->counts->Count(EffectiveRank(grant_, options_), EntryEnding::kRefused);
  bool block_open = owner_status_ == 'T';
  if (block_open) LoseBlock(true);
  bool still_open = queue_.open && queue_.waiting.empty();
  std::string error = pgwire::ErrorResponse(report);
  if (!still_open) return Answer(error, status());
  skip_to_sync_ = true;
  unwritten_ += error.size();
  links_.write(error);
}

void CallerSession::RefuseInLostBlock(const Batch& batch,
                                      const BatchPlan& plan) {
  bool nothing = plan.steps.empty() && plan.parsed.empty() && !plan.refusal;
  if (nothing && batch.complete) return AnswerAlone(batch, plan);
  bool rolls_back = plan.ends_block &&
                    plan.steps.front().sql_class.kind == SqlKind::kRollback;
  std::unique_ptr<pgwire::Report> untold = std::move(untold_);
  if (plan.ends_block && batch.complete) {
    block_lost_ = false;
    if (!untold || rolls_back) return AnswerAlone(batch, plan);
  }
  Refuse(untold ? *untold : FailedBlockReport());
}

void CallerSession::AnswerAlone(const Batch& batch, const BatchPlan& plan) {
  parts_->counts->Count(EffectiveRank(grant_, options_), EntryEnding::kLocal);
  LocalAnswer answer =
      AnswerLocally(batch.bytes, plan, state_,
                    [this](const SqlPart& part) { return RunLocally(part); });
  if (!answer.failed) {
    for (const NamedStatement& parsed : plan.parsed) KeepParsed(parsed);
  }
  if (answer.failed && owner_status_ == 'T') LoseBlock(true);
  ForgetClosed(plan);
  Answer(answer.bytes, status());
}

LocalResult CallerSession::RunLocally(const SqlPart& part) {
  const SqlClass& sql = part.sql_class;
  switch (sql.kind) {
    case SqlKind::kProductSet:
      return RunProductSet(sql);
    case SqlKind::kProductShow:
      return RunProductShow(sql);
    case SqlKind::kDeallocate:
      return RunDeallocate(sql);
    case SqlKind::kDiscard:
      DiscardAll(&state_);
      return LocalResult{{}, "DISCARD ALL", {}};
    case SqlKind::kCommit:
    case SqlKind::kRollback:
      return LocalResult{{}, "ROLLBACK", {}};
    default:
      return LocalResult{};
  }
}

LocalResult CallerSession::RunProductSet(const SqlClass& sql) {
  ViewPtr view = parts_->view();
  std::string_view name = std::string_view(sql.name);
  name.remove_prefix(kProductPrefix.size());
  bool moves_channel = name == "session" || name == "floor";
  if (moves_channel && status() != 'I') {
    return LocalResult{
        MakeReport("25001", "SET " + sql.name + " within a transaction",
                   "set it before BEGIN"),
        {},
        {}};
  }
  Status set = SetSessionOption(name, sql.value, view->document->document,
                                grant_, &options_);
  if (set.has_error()) {
    bool unknown = set.error().kind == ErrorKind::kNotFound;
    return LocalResult{MakeReport(unknown ? "42704" : "22023",
                                  set.error().message, set.error().remedy),
                       {},
                       {}};
  }
  if (moves_channel) DropChannel();
  return LocalResult{{}, sql.value.empty() ? "RESET" : "SET", {}};
}

LocalResult CallerSession::RunProductShow(const SqlClass& sql) {
  ViewPtr view = parts_->view();
  std::string_view name = std::string_view(sql.name);
  name.remove_prefix(kProductPrefix.size());
  Result<std::string> value =
      ShowSessionOption(name, view->document->document, grant_, options_);
  if (value.has_error()) {
    return LocalResult{
        MakeReport("42704", value.error().message, value.error().remedy),
        {},
        {}};
  }
  return LocalResult{{}, "SHOW", value.value()};
}

LocalResult CallerSession::RunDeallocate(const SqlClass& sql) {
  if (sql.name.empty()) {
    DeallocateAll(&state_);
    return LocalResult{{}, "DEALLOCATE ALL", {}};
  }
  if (Deallocate(sql.name, &state_)) return LocalResult{{}, "DEALLOCATE", {}};
  return LocalResult{
      MakeReport("26000",
                 "prepared statement \"" + sql.name + "\" does not exist", ""),
      {},
      {}};
}

/// A long unnamed statement is not worth its memory: clients parse it anew.
void CallerSession::KeepParsed(const NamedStatement& parsed) {
  bool too_long =
      parsed.name.empty() && parsed.parse_message.size() > kMaxUnnamedBytes;
  if (too_long) {
    CloseNamed("", &state_);
  } else {
    KeepNamed(parsed, &state_);
  }
}

void CallerSession::ForgetClosed(const BatchPlan& plan) {
  for (const std::string& name : plan.closed) CloseNamed(name, &state_);
}

Statement CallerSession::MakeStatement(const BatchPlan& plan) {
  Statement statement;
  statement.kind = static_cast<uint8_t>(plan.kind);
  statement.rank = EffectiveRank(grant_, options_);
  statement.max_staleness = EffectiveStaleness(grant_, options_);
  bool may_carry_key = plan.writes_data || owner_status_ != 'I';
  if (may_carry_key) statement.operation_key = options_.operation_key;
  statement.setup = Setup(state_);
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

/// Passes on what came for a batch that was flushed before its Sync.
void CallerSession::Continue() {
  bool tail_in_use = queue_.waiting.empty() && !queue_.tail.bytes.empty();
  if (!tail_in_use) return;
  Batch& tail = queue_.tail;
  bool goes_on =
      tail.complete || tail.flushed || tail.bytes.size() >= kChannelChunkBytes;
  if (!goes_on) return;
  Batch batch = std::exchange(tail, Batch());
  if (skip_to_sync_) {
    if (!batch.complete) return;
    skip_to_sync_ = false;
    return Answer("", status());
  }
  if (under_way_ == nullptr) return;
  PlanContext context{&state_, under_way_->in_block, grant_.writes,
                      session_tag_, ++batches_};
  context.earlier = &under_way_->plan;
  BatchPlan plan = PlanBatch(batch.bytes, context);
  if (plan.refusal) {
    // The endpoint fails the batch as a whole and skips what follows.
    plan.bytes += FailingParse();
    plan.bytes +=
        pgwire::Builder().Begin(batch.complete ? 'S' : 'H').End().Take();
  }
  Append(std::move(plan), &under_way_->plan);
  under_way_->statement.complete = batch.complete;
  std::string bytes = std::exchange(under_way_->plan.bytes, std::string());
  SendPieces(bytes, batch.complete);
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
  OnBlockLost(&state_);
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
  open.entry = parts_->vm;
  open.entry_zone = parts_->zone;
  uint64_t generation = ++channel_generation_;
  std::weak_ptr<CallerSession> weak = weak_from_this();
  to_owner_ = std::make_shared<ToOwnerSink>(
      parts_->open(open, [weak, generation](FromOwner message) {
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
  if (step) OnCompleted(now.plan.steps[now.completed++], &state_);
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
  bool answered = static_cast<Ending>(end.ending) == Ending::kAnswered;
  if (answered && under_way_->watcher.at_boundary()) {
    OnAnswered(end);
  } else {
    OnNotAnswered(end);
  }
}

void CallerSession::OnAnswered(const StatementEnd& end) {
  std::unique_ptr<UnderWay> ended = std::move(under_way_);
  bool failed = ended->watcher.failed();
  parts_->counts->Count(ended->statement.rank, EntryEnding::kAnswered);
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
  bool not_run = static_cast<Ending>(end.ending) == Ending::kNotRun;
  parts_->counts->Count(under_way_->statement.rank,
                        not_run ? EntryEnding::kNotRun : EntryEnding::kUnknown);
  bool in_block = under_way_->in_block;
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
  OnBlockLost(&state_);
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

void CallerSession::FailAfterReset(const ChannelReset& reset) {
  const UnderWay& now = *under_way_;
  bool read = now.plan.kind == StatementKind::kRead;
  bool not_run = reset.sent_nothing && !now.in_block;
  parts_->counts->Count(now.statement.rank,
                        not_run ? EntryEnding::kNotRun : EntryEnding::kUnknown);
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

void CallerSession::OnWritten(size_t bytes) {
  unwritten_ -= std::min(bytes, unwritten_);
  if (closed_) return;
  size_t of_answer = std::min(bytes, unwritten_answer_);
  unwritten_answer_ -= of_answer;
  GiveCredit(of_answer);
  Pump();
}

void CallerSession::Cancel() {
  if (closed_ || under_way_ == nullptr || under_way_->hidden) return;
  ToOwnerSend(CancelStatement{under_way_->statement.number});
}

void CallerSession::Leave() {
  leaving_ = true;
  LeaveIfIdle();
}

void CallerSession::LeaveIfIdle() {
  if (!leaving_ || closed_ || !idle() || links_.input_pending()) return;
  links_.write(pgwire::ErrorResponse(ShutdownReport()));
  Close();
  links_.finish();
}

void CallerSession::Close() {
  if (closed_) return;
  closed_ = true;
  DropChannel();
  under_way_.reset();
}

}  // namespace cardamomchute
