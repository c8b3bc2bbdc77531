/// Runs one member of a control quorum: its data folder, links and timers.
///
/// Lives on the control thread. policy/quorum.h implements the consensus
/// algorithm without I/O; this class persists its state, sends its messages
/// and passes committed entries to the owner of the state machine.
#ifndef CARDAMOMCHUTE_PEERS_QUORUM_HOST_H_
#define CARDAMOMCHUTE_PEERS_QUORUM_HOST_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cardamomchute/base/settings.h"
#include "cardamomchute/base/tcp_listener.h"
#include "cardamomchute/peers/link.h"
#include "cardamomchute/peers/log_store.h"
#include "cardamomchute/peers/quorum_messages.h"

namespace cardamomchute {

class MemberLinks;

struct QuorumHostSettings {
  VmId vm;
  Address listen;
  std::filesystem::path data_folder;
  QuorumTiming timing;
  /// The log is compacted into a snapshot at this number of applied entries,
  /// or at this size of the log file.
  uint64_t snapshot_after = 1000;
  uint64_t snapshot_bytes = 8 * 1024 * 1024;
  /// Whether a member with an empty data folder may bootstrap a new system
  /// together with the seeds.
  bool may_bootstrap = true;
  /// Interval of periodic work: elections, reconnects, membership review.
  Duration tick = Millis(20);
  /// Election timeout for the first election after a start, randomized
  /// between half of it and all of it; zero: the timeout of later elections.
  /// A short one is safe, since members that hear a leader grant no vote.
  Duration first_election_timeout;
  /// A voter that has been silent for this long is removed once a newer
  /// member votes in its place; without a newer one, after three times as
  /// long. Zero: never.
  Duration replace_silent_after;
};

/// A MemberHello older than this is ignored.
inline constexpr Duration kMemberHelloTtl = Seconds(2);

/// Interval at which a member tries again to write what its disk refused.
inline constexpr Duration kDiskRetryInterval = Seconds(1);

/// Callbacks into the owner of the state machine. All run on the control
/// thread.
struct QuorumHooks {
  using LinkPtr = std::shared_ptr<Link>;
  std::function<void(const LogEntry&)> apply;
  /// Replaces the state machine by the one in a snapshot; an empty string
  /// stands for the initial state.
  std::function<void(const std::string&)> restore;
  /// Packs the state machine for a snapshot.
  std::function<std::string()> pack;
  /// This member has become leader (true) or has stopped being it.
  std::function<void(bool)> on_leadership_change;
  /// A quorum has confirmed this member's leadership for rounds up to this
  /// one.
  std::function<void(Round)> on_confirmed;
  std::function<void(Time)> on_tick;
  /// Runs after the quorum's output was persisted, sent and applied.
  std::function<void()> after_output;
  /// Handles frames that are not kQuorum frames.
  std::function<void(const LinkPtr&, FrameType, std::string_view)> on_frame;
  std::function<void(const LinkPtr&)> on_link_lost;
  /// An outgoing link to a member was established.
  std::function<void(const VmId&)> on_member_link;
  /// Whether a member that is not in the configuration may join.
  std::function<bool(const MemberHello&)> admits;
  /// Whether the VM's members are to be removed and kept out.
  std::function<bool(const VmId&)> excludes;
  /// The state is corrupt and the host has stopped.
  std::function<void(Error)> on_failure;
};

class QuorumHost : public std::enable_shared_from_this<QuorumHost> {
 public:
  using LinkPtr = std::shared_ptr<Link>;

  /// Opens the data folder and the listening socket.
  static Result<std::shared_ptr<QuorumHost>> Open(boost::asio::io_context& io,
                                                  QuorumHostSettings settings);
  ~QuorumHost();

  /// Restores the state machine, then starts to listen, dial and vote.
  void Start(std::vector<ControlSeed> seeds, QuorumHooks hooks);
  void Stop();
  /// Replaces the seeds.
  void SetSeeds(std::vector<ControlSeed> seeds) { seeds_ = std::move(seeds); }

  /// The listening address, with the port that was actually bound.
  Address address() const;
  const QuorumState& quorum() const { return quorum_; }
  uint64_t log_bytes() const { return store_->log_bytes(); }
  bool Connected(const VmId& vm) const;
  /// Whether this member leads and its leadership hook has run.
  bool leading() const { return leading_; }
  /// Whether this member leads, or has heard the leader within the election
  /// timeout.
  bool HasLeaderContact(Time now) const;
  /// This member's MemberHello, packed as a MemberMessage.
  std::string PackedHello() const;
  bool stopped() const { return stopped_; }
  /// Whether the disk takes no writes. The member then follows the leader in
  /// memory, without votes and acknowledgements, until the disk takes them.
  bool disk_refuses() const { return quorum_.disk_refuses; }

  /// Appends a command to the log; nullopt if this member does not lead.
  std::optional<LogIndex> ProposeBytes(std::string command);
  /// Starts a round that confirms this member's leadership with a quorum;
  /// nullopt if this member does not lead.
  std::optional<Round> BeginRound();
  /// Posts one run of ProcessOutput; calls before it runs are merged into it.
  void ScheduleOutput();
  void SendTo(const VmId& vm, FrameType type, std::string body);
  void SendToAll(FrameType type, const std::string& body);
  /// Closes an incoming link without calling `on_link_lost`.
  void Drop(const LinkPtr& link);
  /// Logs the error, stops the host and calls `on_failure`.
  void Fail(const Error& error);

 private:
  QuorumHost(boost::asio::io_context& io, QuorumHostSettings settings,
             std::unique_ptr<LogStore> store);

  Status Listen();
  void HandleConnection(boost::asio::ip::tcp::socket socket);
  void OnFrame(const LinkPtr& link, FrameType type, std::string_view body);
  void OnEnvelope(const QuorumEnvelope& envelope);

  void ScheduleTick();
  void Tick();
  void ProcessOutput();
  bool ProcessOutputOnce();
  Status Persist(const QuorumOutput& output);
  void OnDiskError(const QuorumOutput& output, const Error& error);
  void NoteUnsaved(const QuorumOutput& output);
  void RetryDisk(Time now);
  Status SaveUnsaved();
  Status SaveCompacted();
  void UpdateLeadership();
  void MaybeSnapshot();
  void MaybeBootstrap();
  void UpdatePeers();
  bool IsFresh() const;

  void ReviewMembers(Time now);
  bool Admitted(const MemberHello& hello) const;
  std::optional<QuorumConfig> NextConfig(Time now) const;
  std::optional<QuorumConfig> WithPromotion(Time now) const;
  std::optional<QuorumConfig> WithoutSilentMember(Time now) const;

  boost::asio::io_context& io_;
  QuorumHostSettings settings_;
  std::unique_ptr<LogStore> store_;
  std::shared_ptr<TcpListener> listener_;
  boost::asio::steady_timer timer_;
  std::vector<ControlSeed> seeds_;
  QuorumHooks hooks_;
  std::shared_ptr<MemberLinks> links_;
  std::map<Link*, LinkPtr> inbound_;
  struct ReceivedHello {
    MemberHello hello;
    Time at;
  };
  std::map<VmId, ReceivedHello> received_hellos_;
  QuorumState quorum_;
  QuorumTerm leader_term_;
  bool leading_ = false;
  Time leadership_start_;
  std::map<MemberId, Time>
      promoted_at_;  ///< when voters were added in this term
  Time next_review_;
  bool vote_unsaved_ = false;
  /// The snapshot in memory is newer than the one on disk.
  bool snapshot_unsaved_ = false;
  Time disk_refused_at_;
  Time next_disk_retry_;
  bool output_scheduled_ = false;
  bool stopped_ = false;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_QUORUM_HOST_H_
