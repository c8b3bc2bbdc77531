#include "caller_session.h"

#include <algorithm>
#include <random>
#include <utility>

#include "cardamomchute/policy/admission/access.h"
#include "session_reports.h"

namespace cardamomchute {
namespace {

/// Bytes that may wait for the caller before the next batch starts.
constexpr size_t kMaxUnwrittenBytes = 2 * kChannelWindowBytes;

uint64_t RandomTag() {
  thread_local std::mt19937_64 random{std::random_device()()};
  return random();
}

}  // namespace

CallerSession::CallerSession(const SessionParams* params,
                             AdmittedCaller admitted, CallerLinks links)
    : params_(params),
      links_(std::move(links)),
      caller_(std::move(admitted.caller)),
      grant_(admitted.grant),
      options_(std::move(admitted.options)),
      session_tag_(RandomTag()),
      reported_floor_(options_.floor) {
  SetStartupStatements(std::move(admitted.setup), &state_);
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
         owner_status_ == 'I';
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
  ViewPtr view = params_->view();
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
  params_->counts->Count(EffectiveRank(grant_, options_),
                         EntryEnding::kRefused);
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
