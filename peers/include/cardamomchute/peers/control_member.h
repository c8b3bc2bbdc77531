/// A member of the control quorum, which stores documents, group owners and
/// leases.
///
/// Lives on the control thread. The rules are in policy (quorum.h,
/// control_state.h, lease.h) and do no I/O; QuorumHost persists and sends; this
/// class applies committed commands and serves agents.
#ifndef CARDAMOMCHUTE_PEERS_CONTROL_MEMBER_H_
#define CARDAMOMCHUTE_PEERS_CONTROL_MEMBER_H_

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cardamomchute/base/settings.h"
#include "cardamomchute/peers/control_messages.h"
#include "cardamomchute/peers/quorum_host.h"
#include "cardamomchute/policy/quorum/control_state_view.h"

namespace cardamomchute {

class AgentSessions;
class ControlLeader;

struct ControlMemberSettings {
  VmId vm;
  Address listen;
  std::filesystem::path data_folder;
  QuorumTiming timing;
  /// Number of applied entries at which the log is compacted into a snapshot.
  uint64_t snapshot_after = 1000;
};

class ControlMember : public std::enable_shared_from_this<ControlMember> {
 public:
  using Answer = std::function<void(ControlResult)>;

  /// Opens the data folder and the listening socket.
  static Result<std::shared_ptr<ControlMember>> Open(
      boost::asio::io_context& io, ControlMemberSettings settings,
      DocumentReader read);
  ~ControlMember();

  /// The listening address, with the port that was actually bound.
  Address address() const { return host_->address(); }
  /// Joins the quorum. `seeds` are all members of a new system, or some members
  /// of a running one, and may include this VM.
  void Start(std::vector<ControlSeed> seeds);
  void Stop();
  /// Sets the handler that runs once if the data folder fails; the member has
  /// stopped by then.
  void OnFailure(std::function<void(Error)> handler);

  bool leading() const;
  const QuorumState& quorum() const { return host_->quorum(); }
  const ControlState& state() const { return state_; }
  uint64_t log_bytes() const { return host_->log_bytes(); }

 private:
  friend class ControlLeader;
  using LinkPtr = std::shared_ptr<Link>;
  struct PendingAnswer {
    QuorumTerm term;
    Answer answer;
  };
  struct ReadyAnswer {
    Answer answer;
    ControlResult outcome;
  };

  ControlMember(DocumentReader read, std::shared_ptr<QuorumHost> host);

  QuorumHooks MakeHooks();
  void OnFrame(const LinkPtr& link, FrameType type, std::string_view body);
  void OnAgentHello(const LinkPtr& link, const AgentHello& hello);
  void SendRedirect(const LinkPtr& link);
  void RestoreState(const std::string& snapshot);
  void ApplyEntry(const LogEntry& entry);
  void OnLeadershipChange(bool is_leader);
  void PushChanges();
  void PushTo(const LinkPtr& link);
  void DeliverAnswers();

  /// Appends a command to the log; `answer` runs once it is applied. Returns
  /// nullopt if this member does not lead.
  std::optional<LogIndex> ProposeCommand(const ControlCommand& command,
                                         Answer answer);

  DocumentReader read_;
  std::shared_ptr<QuorumHost> host_;
  std::unique_ptr<AgentSessions> sessions_;
  std::unique_ptr<ControlLeader> leader_;  ///< while this member leads
  ControlState state_;
  std::map<LogIndex, PendingAnswer> pending_;
  std::vector<ReadyAnswer> ready_;
  bool push_due_ = false;
  bool push_urgent_ = false;
  Time last_push_;
  std::function<void(Error)> on_failure_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_CONTROL_MEMBER_H_
