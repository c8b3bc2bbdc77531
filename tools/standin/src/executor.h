/// Runs the statements of one session on a member.
#ifndef CARDAMOMCHUTE_STANDIN_EXECUTOR_H_
#define CARDAMOMCHUTE_STANDIN_EXECUTOR_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "ast.h"
#include "execution.h"
#include "member.h"
#include "modify.h"
#include "session_state.h"

namespace cardamomchute::standin {

/// What all sessions of a member share.
struct Host {
  Member* member = nullptr;
  std::shared_ptr<Slots> slots;
  std::chrono::microseconds service{0};
  /// Carries out ALTER SYSTEM SET primary_conninfo at the next reload.
  std::function<void(const Address& primary)> follow;
  std::string pending_conninfo;
};

class Executor {
 public:
  using Answer = boost::asio::awaitable<SqlResult<Execution>>;

  Executor(Host* host, SessionState* session)
      : host_(*host), session_(*session) {}

  /// Runs within the session's transaction, beginning one if there is none.
  /// COMMIT and ROLLBACK end it; nothing else does.
  Answer Run(StatementPtr statement, std::vector<Value> params);

  /// The columns that the statement returns; nothing when it returns no rows.
  SqlResult<std::optional<std::vector<ResultColumn>>> Describe(
      const Statement& statement) const;

 private:
  SqlResult<void> CheckBlock(const Statement& statement) const;
  SqlResult<void> CheckWritable(const std::string& command) const;
  bool NeedsSlot(const Statement& statement) const;
  std::shared_ptr<RunContext> MakeContext(std::vector<Value> params);
  StoreView View() const;

  Answer RunInSlot(StatementPtr statement, std::vector<Value> params);
  Answer RunData(StatementPtr statement, std::shared_ptr<RunContext> context,
                 HeldSlot slot);
  SqlResult<ModifyOutcome> TryModify(const StatementPtr& statement,
                                     const ModifyContext& context);
  Answer RunPrepared(const ExecutePrepared& execute, std::vector<Value> params);
  SqlResult<Execution> RunSelectNow(const StatementPtr& statement,
                                    std::shared_ptr<RunContext> context);
  SqlResult<Execution> RunPlain(const Statement& statement);
  SqlResult<Execution> RunProbe();

  SqlResult<std::string> Tag(const CreateTable& create);
  SqlResult<std::string> Tag(const DropTable& drop);
  SqlResult<std::string> Tag(const Truncate& truncate);
  SqlResult<std::string> Tag(const Set& set);
  SqlResult<std::string> Tag(const Reset& reset);
  SqlResult<std::string> Tag(const Begin& begin);
  SqlResult<std::string> Tag(const SetTransaction& set);
  SqlResult<std::string> Tag(const Commit& commit);
  SqlResult<std::string> Tag(const Rollback& rollback);
  SqlResult<std::string> Tag(const Discard& discard);
  SqlResult<std::string> Tag(const Prepare& prepare);
  SqlResult<std::string> Tag(const Deallocate& deallocate);
  SqlResult<std::string> Tag(const AlterSystem& alter);

  SqlResult<Value> Call(const std::string& name,
                        const std::vector<Value>& args);
  std::optional<SqlResult<Value>> CallGroup(const std::string& name);
  SqlResult<Value> CallSetting(const std::string& name,
                               const std::vector<Value>& args);
  SqlResult<Value> Promote();
  SqlResult<Value> Reload();
  SqlResult<void> ChangeSetting(const std::string& name,
                                const std::optional<std::string>& value,
                                bool local);
  void Warn(const std::string& sqlstate, const std::string& message);
  void ReportSetting(const std::string& name);

  Host& host_;
  SessionState& session_;
};

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_EXECUTOR_H_
