/// A member of the control quorum: drives log, state and leases over links.
///
/// Lives on the control thread. The pure parts decide (policy/quorum.h,
/// control_state.h, lease.h); this syncs, sends and applies.
#ifndef CARDAMOMCHUTE_PEERS_CONTROL_MEMBER_H_
#define CARDAMOMCHUTE_PEERS_CONTROL_MEMBER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cardamomchute/base/settings.h"
#include "cardamomchute/peers/control_messages.h"
#include "cardamomchute/peers/log_store.h"
#include "cardamomchute/policy/control_state_view.h"

namespace cardamomchute {

class AgentSessions;
class ControlLeader;
class MemberLinks;
class Link;

struct ControlMemberSettings {
  VmId vm;
  Address listen;
  std::filesystem::path data_folder;
  QuorumTiming timing;
  /// Entries after which a snapshot replaces them.
  uint64_t snapshot_after = 1000;
};

class ControlMember : public std::enable_shared_from_this<ControlMember> {
 public:
  using Answer = std::function<void(ControlAnswer)>;

  /// Opens the data folder and the listening socket.
  static Result<std::shared_ptr<ControlMember>> Open(
      boost::asio::io_context& io, ControlMemberSettings settings,
      ReadDocument read);
  ~ControlMember();

  /// Where it listens, with the port that the system gave.
  Address address() const;
  /// Joins the quorum. The seeds are the members of a new system, or some
  /// members of one that runs; may name this VM itself.
  void Start(std::vector<ControlSeed> seeds);
  void Stop();
  /// Called once if the data folder fails; the member has stopped.
  void OnFailure(std::function<void(Error)> handler);

  bool leading() const;
  const QuorumState& quorum() const { return quorum_; }
  const ControlState& state() const { return state_; }
  uint64_t log_bytes() const { return store_->log_bytes(); }

 private:
  friend class ControlLeader;
  using LinkPtr = std::shared_ptr<Link>;
  struct PendingAnswer {
    QuorumTerm term;
    Answer answer;
  };
  struct ReadyAnswer {
    Answer answer;
    ControlAnswer outcome;
  };

  ControlMember(boost::asio::io_context& io, ControlMemberSettings settings,
                ReadDocument read, std::unique_ptr<LogStore> store);

  Status Listen();
  void Accept();
  void TakeConnection(boost::asio::ip::tcp::socket socket);
  void OnFrame(const LinkPtr& link, std::string_view body);
  void OnMemberHello(const MemberHello& hello);
  void OnEnvelope(const QuorumEnvelope& envelope);
  void OnAgentHello(const LinkPtr& link, const AgentHello& hello);
  void SendRedirect(const LinkPtr& link);
  std::string Greeting() const;

  void ScheduleTick();
  void Tick();
  void ScheduleDrive();
  void Drive();
  bool DriveOnce();
  Status Persist(const QuorumOutput& output);
  void SendMessage(const QuorumMessage& message);
  void RestoreState(const QuorumSnapshot& snapshot);
  void ApplyEntry(const LogEntry& entry);
  void NoticeReign();
  void MaybeSnapshot();
  void MaybeFound();
  void UpdatePeers();
  void PushChanges();
  void PushTo(const LinkPtr& link);
  void DeliverAnswers();
  void Fail(const Error& error);

  /// Leader only: appends a command; `answer` runs once it is applied.
  std::optional<LogIndex> ProposeCommand(const ControlCommand& command,
                                         Answer answer);

  bool IsFresh() const;

  boost::asio::io_context& io_;
  ControlMemberSettings settings_;
  ReadDocument read_;
  std::unique_ptr<LogStore> store_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  std::vector<ControlSeed> seeds_;
  std::shared_ptr<MemberLinks> links_;
  std::unique_ptr<AgentSessions> sessions_;
  std::unique_ptr<ControlLeader> leader_;  ///< while this member leads
  std::map<Link*, LinkPtr> inbound_;
  struct HeardMember {
    MemberHello hello;
    Time at;
  };
  std::map<VmId, HeardMember> heard_;
  QuorumState quorum_;
  ControlState state_;
  std::map<LogIndex, PendingAnswer> pending_;
  std::vector<ReadyAnswer> ready_;
  bool drive_due_ = false;
  bool push_due_ = false;
  bool push_urgent_ = false;
  bool stopped_ = false;
  Time last_push_;
  std::function<void(Error)> on_failure_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_CONTROL_MEMBER_H_
