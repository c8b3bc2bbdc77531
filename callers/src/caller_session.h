/// One caller's session: batches in, statements through a channel, answers
/// out. No sockets; lives on one traffic thread.
#ifndef CARDAMOMCHUTE_CALLERS_SRC_CALLER_SESSION_H_
#define CARDAMOMCHUTE_CALLERS_SRC_CALLER_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "answer_watcher.h"
#include "batch.h"
#include "batch_plan.h"
#include "cardamomchute/channel/channel.h"
#include "cardamomchute/policy/quorum/view.h"
#include "cardamomchute/policy/sessions/session_options.h"
#include "cardamomchute/policy/sessions/session_state.h"
#include "local_answer.h"
#include "startup.h"
#include "statement_counts.h"

namespace cardamomchute {

/// What all sessions of one thread share; outlives them.
struct SessionParams {
  VmId vm;
  Zone zone;
  ChannelOpener open;
  std::function<ViewPtr()> view;
  StatementCounts* counts = nullptr;
};

/// What a session does to its caller's connection.
struct CallerLinks {
  /// Appends bytes for the caller; they are written soon.
  std::function<void(std::string_view)> write;
  /// Closes the connection once all is written.
  std::function<void()> finish;
  /// Closes it now: the answer under way can't be made whole.
  std::function<void()> cut;
  /// Whether bytes have come that OnMessage has not been given.
  std::function<bool()> input_pending;
  /// Runs a function on the session's thread after a while; replaces the one
  /// before.
  std::function<void(Duration, std::function<void()>)> run_after;
};

class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(const SessionParams* params, AdmittedCaller admitted,
                CallerLinks links);

  /// Takes one frontend message; kProtocol ends the connection.
  Status OnMessage(const pgwire::MessageView& message);
  /// Whether more messages are welcome now.
  bool WantsInput() const;
  /// The connection has written so many bytes to the caller.
  void OnWritten(size_t bytes);
  /// A cancel request with this session's key came.
  void Cancel();
  /// All messages that have come were given to OnMessage.
  void OnInputUsed() { LeaveIfIdle(); }
  /// The VM drains: tells the caller to leave as soon as nothing runs.
  void Leave();
  /// The caller is gone.
  void Close();

  /// Bytes of the caller's batches that wait.
  size_t waiting_bytes() const {
    return queue_.waiting_bytes + queue_.tail.bytes.size();
  }

  /// Nothing runs or waits, and no transaction would be cut.
  bool idle() const;

 private:
  /// A statement the owner has, and what is needed to end or repeat it.
  struct UnderWay {
    Statement statement;
    BatchPlan plan;
    AnswerWatcher watcher;
    Time started;
    size_t completed = 0;  ///< of plan.steps
    size_t parsed = 0;     ///< of plan.parsed
    uint32_t resets = 0;
    bool resent = false;      ///< after it may have run
    bool answered = false;    ///< a byte of the answer went to the caller
    bool hidden = false;      ///< the caller knows nothing of it
    bool repeatable = false;  ///< `statement` is whole
    bool in_block = false;    ///< a block was open when it started
  };

  // Batches.
  void Pump();
  bool CanStart() const;
  void Start(Batch batch);
  void Continue();
  bool RefreshGrant(const ClusterView& view);
  void Send(Batch batch, BatchPlan plan, const ClusterView& view);
  void Answer(std::string_view bytes, char transaction_status);
  void Refuse(const pgwire::Report& report);
  void RefuseInLostBlock(const Batch& batch, const BatchPlan& plan);
  void LeaveIfIdle();

  // What the entry answers by itself.
  void AnswerAlone(const Batch& batch, const BatchPlan& plan);
  LocalResult RunLocally(const SqlStatement& part);
  LocalResult RunProductSet(const SqlClass& sql);
  LocalResult RunProductShow(const SqlClass& sql);
  LocalResult RunDeallocate(const SqlClass& sql);
  void KeepParsed(const NamedStatement& parsed);
  void ForgetClosed(const BatchPlan& plan);

  // Towards the owner.
  Statement MakeStatement(const BatchPlan& plan);
  static Duration StatementDeadline(const Document& document, Rank rank);
  void OpenChannelIfNeeded();
  void DropChannel();
  void ForgetChannel();
  void ToOwnerSend(ToOwner message);
  void SendStatement();
  void SendPieces(std::string_view bytes, bool complete);
  void SendRollback();
  void Resend();
  void GiveCredit(size_t bytes);

  // From the owner.
  void OnFromOwner(uint64_t generation, FromOwner message);
  void OnAnswer(AnswerData data);
  void OnEvent(AnswerEvent event);
  void OnEnd(StatementEnd end);
  void OnAnswered(const StatementEnd& end);
  void OnNotAnswered(const StatementEnd& end);
  void OnReset(const ChannelReset& reset);
  bool TryAgain(const ChannelReset& reset);
  void FailAfterReset(const ChannelReset& reset);
  void Fail(const pgwire::Report& report, bool lose_block, bool open_at_owner);
  void LoseBlock(bool tell_owner);
  bool RollsBackWhatIsGone() const;
  void AnswerRollback(bool open_at_owner);

  /// The transaction status the caller sees.
  char status() const;

  const SessionParams* params_;
  CallerLinks links_;
  Caller caller_;
  Grant grant_;
  Version grant_version_;
  SessionOptions options_;
  SessionState state_;
  uint64_t setup_hash_ = 0;
  uint64_t setup_revision_ = 0;
  uint64_t session_tag_;
  std::optional<Floor> reported_floor_;

  BatchQueue queue_;
  std::unique_ptr<UnderWay> under_way_;
  std::shared_ptr<ToOwnerSink> to_owner_;
  uint64_t channel_generation_ = 0;
  uint64_t statement_number_ = 0;
  uint64_t batches_ = 0;
  size_t unwritten_ = 0;         ///< bytes handed to the connection
  size_t unwritten_answer_ = 0;  ///< of these, from the owner
  char owner_status_ = 'I';
  /// The block is gone at the owner; the caller must end it.
  bool block_lost_ = false;
  /// Why, if the caller has not been told yet.
  std::unique_ptr<pgwire::Report> untold_;
  bool skip_to_sync_ = false;
  bool terminating_ = false;
  bool leaving_ = false;
  bool closed_ = false;
  bool pumping_ = false;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_CALLERS_SRC_CALLER_SESSION_H_
