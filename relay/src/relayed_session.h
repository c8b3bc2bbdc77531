/// One caller's connection: its values, prepared statements, transaction, and
/// the way of each statement to an endpoint.
#ifndef CARDAMOMCHUTE_RELAY_SRC_RELAYED_SESSION_H_
#define CARDAMOMCHUTE_RELAY_SRC_RELAYED_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cardamomchute/policy/sessions/key_check.h"
#include "cardamomchute/relay/relay.h"

namespace cardamomchute {

class RelayedSession : public std::enable_shared_from_this<RelayedSession> {
 public:
  RelayedSession(boost::asio::ip::tcp::socket socket, Relay* relay,
                 uint64_t number);

  void Start();
  /// Closes unless a transaction is open or a statement is under way.
  void CloseIfIdle();
  /// Rolls back an open transaction while its caller rests, as the VM is about
  /// to stop. The caller's next statement is answered with that.
  void EndRestingTransaction();
  /// Rolls back a transaction that rested for too long.
  void EndIdleTransaction(Time now);
  /// Closes, or rolls back a transaction, if the caller's key is gone.
  void OnLayout(const Layout& layout);
  /// Closes if the caller has stopped half-way for too long.
  void CloseIfStalled(Time now);
  void Close();
  SessionUse Use() const;

 private:
  enum class Transaction : uint8_t {
    kNone,
    kAsked,   ///< begun by the caller, no statement has run yet
    kOpen,    ///< on an endpoint's connection
    kFailed,  ///< rolled back; the caller has yet to end it
    kEnded,   ///< rolled back while the caller rested; it has not been told
  };

  /// A statement that wants an answer.
  struct Attempt {
    CallerStatement statement;
    bool writes = false;
    std::optional<PreparedStatement> prepared;
    std::string text;
    Time started;
    Time deadline;
    Time hold_until;
    std::set<EndpointId> tried;
    int sends = 0;
    StatementResult last;
  };

  void Read();
  /// Returns whether nothing is under way, and no request has come.
  bool Rests() const;
  /// Returns whether the caller has to read answers before more is taken.
  bool HasUnread() const;
  void Parse();
  void OnMessage(CallerMessage message);
  void OnHello(const CallerHello& hello);
  void RefuseHello(const StatementResult& refused);
  void OnStatement(CallerStatement statement);
  /// Returns whether the statement comes too late, as the VM is about to stop;
  /// answers it if so.
  bool RefuseForDrain(const CallerStatement& statement);
  void NoteDrainRefusal(std::string_view request, StatementStatus outcome);
  void OnBegin(const CallerStatement& statement);
  void OnCommit(CallerStatement statement);
  void OnRollback();
  void OnPrepare(const CallerStatement& statement);
  void OnExecute(CallerStatement statement);

  void Begin(CallerStatement statement, bool writes,
             std::optional<PreparedStatement> prepared, std::string text);
  /// Waits for the organisation's rate limit to allow the operation.
  void AwaitLimit();
  void TrySend();
  void Send(const Target& target);
  void RefuseAsLeaving();
  void TryLater();
  void OnAnswer(const Target& target, RunAnswer answer);
  bool MayRetry(const RunAnswer& answer, Time now) const;
  void TakeSuccess(const Target& target, const RunAnswer& answer);
  void Fail(StatementStatus outcome, const std::string& detail);
  /// Answers a statement that failed or was not taken, and rolls back its
  /// transaction, if any. `ends`: the statement would have ended that.
  void EndWith(const StatementResult& result, bool ends);
  void LogEnd(const StatementResult& result, const Target* target);

  /// Returns why the session is not taken; nothing if it is.
  std::optional<StatementResult> CheckHello(const Layout& layout,
                                            const RouteSpec& route,
                                            const CallerKey& key) const;
  const RouteSpec* RouteInUse(const Layout& layout) const;
  /// Returns whether the caller's key still allows the statement; answers it if
  /// not.
  bool MayUseKey(const CallerStatement& statement);
  bool KeepsOwner(const CallerStatement& statement);
  void RefuseForKey(const CallerStatement& statement, StatementStatus outcome,
                    const std::string& detail);
  void EndUnauthorized(const CallerStatement& statement);
  void NoteKeyRefusal(std::string_view request, StatementStatus outcome,
                      std::string_view detail) const;

  void Answer(const StatementResult& result);
  void AnswerDone() {
    Answer(StatementResult{.outcome = StatementStatus::kDone});
  }
  void Write();
  TransactionState State() const;
  void AbandonTransaction();
  void SetValue(const std::string& name, std::string value);
  bool ForgetPrepared(const std::string& name);
  /// Tells the relay what this session holds; it may close this session.
  void NoteHeld();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Relay* relay_;
  uint64_t number_;
  std::string in_;
  size_t in_used_ = 0;
  bool reading_ = false;
  std::string queued_;
  std::string writing_;
  bool closed_ = false;
  bool close_after_write_ = false;
  Time last_use_;
  Time last_progress_;      ///< bytes came, or were taken
  size_t state_bytes_ = 0;  ///< of values and prepared statements
  size_t held_bytes_ = 0;   ///< as the relay was told

  bool greeted_ = false;
  bool served_ = false;  ///< a statement has been answered
  DatabaseName database_;
  CallerKey key_;
  uint64_t operations_ = 0;        ///< that were begun
  OrganisationName organisation_;  ///< of the transaction or last statement
  std::map<std::string, std::string> values_;
  std::map<std::string, PreparedStatement> prepared_;
  std::map<GroupId, Floor> floors_;  ///< the session's own commits
  Transaction transaction_ = Transaction::kNone;
  bool read_only_ = false;
  bool wrote_ = false;
  uint64_t run_ = 0;
  std::optional<RouteSpec> route_;  ///< of the transaction or statement
  std::optional<Target> target_;    ///< of the last statement
  std::optional<Floor> at_;
  std::unique_ptr<Attempt> attempt_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_RELAY_SRC_RELAYED_SESSION_H_
