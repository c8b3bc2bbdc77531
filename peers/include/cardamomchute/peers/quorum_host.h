/// Runs one member of a control quorum: its folder, its links, its clock.
///
/// Lives on the control thread. policy/quorum.h decides; this syncs, sends and
/// hands committed entries to whoever keeps the state machine.
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
  /// Entries, or bytes of log, after which a snapshot replaces them.
  uint64_t snapshot_after = 1000;
  uint64_t snapshot_bytes = 8 * 1024 * 1024;
  /// Whether an empty folder may found a new system together with the seeds.
  bool may_bootstrap = true;
  /// How often it looks after itself when nothing arrives.
  Duration tick = Millis(20);
  /// Longest wait for a leader's first word after a start; zero: as long as
  /// for any other. Nobody stands for election while others hear a leader.
  Duration first_election_timeout;
  /// A voter silent for this long goes once a newer member votes in its
  /// place; zero: never.
  Duration replace_silent_after;
};

/// A greeting older than this says nothing of the member any more.
inline constexpr Duration kGreetingValid = Seconds(2);

/// What the owner of the state machine does; all run on the control thread.
struct QuorumHooks {
  using LinkPtr = std::shared_ptr<Link>;
  std::function<void(const LogEntry&)> apply;
  /// Replaces the state machine by a snapshot's bytes; empty at the start.
  std::function<void(const std::string&)> restore;
  std::function<std::string()> pack;
  /// The reign began (true) or ended.
  std::function<void(bool)> on_leadership_change;
  std::function<void(Round)> on_confirmed;
  std::function<void(Time)> on_tick;
  /// After entries were applied and messages sent.
  std::function<void()> after_output;
  /// Frames of others than members, and of members beside the quorum's.
  std::function<void(const LinkPtr&, FrameType, std::string_view)> on_frame;
  std::function<void(const LinkPtr&)> on_link_lost;
  /// An outgoing link to a member is up.
  std::function<void(const VmId&)> on_member_link;
  std::function<bool(const MemberHello&)> admits;
  std::function<bool(const VmId&)> excludes;
  std::function<void(Error)> on_failure;
};

class QuorumHost : public std::enable_shared_from_this<QuorumHost> {
 public:
  using LinkPtr = std::shared_ptr<Link>;

  /// Opens the data folder and the listening socket.
  static Result<std::shared_ptr<QuorumHost>> Open(boost::asio::io_context& io,
                                                  QuorumHostSettings settings);
  ~QuorumHost();

  void Start(std::vector<ControlSeed> seeds, QuorumHooks hooks);
  void Stop();
  /// Other seeds, from now on.
  void SetSeeds(std::vector<ControlSeed> seeds) { seeds_ = std::move(seeds); }

  /// Where it listens, with the port that the system gave.
  Address address() const;
  const QuorumState& quorum() const { return quorum_; }
  uint64_t log_bytes() const { return store_->log_bytes(); }
  bool Connected(const VmId& vm) const;
  /// This member leads, and has told so through `on_leadership_change`.
  bool leading() const { return reigning_; }
  /// This member leads with a quorum, or has lately heard one who does.
  bool HasLeaderContact(Time now) const;
  std::string Greeting() const;
  bool stopped() const { return stopped_; }

  std::optional<LogIndex> ProposeBytes(std::string command);
  std::optional<Round> BeginRound();
  void ScheduleDrive();
  void SendTo(const VmId& vm, FrameType type, std::string body);
  void SendToAll(FrameType type, const std::string& body);
  /// Closes an incoming link.
  void Drop(const LinkPtr& link);
  void Fail(const Error& error);

 private:
  QuorumHost(boost::asio::io_context& io, QuorumHostSettings settings,
             std::unique_ptr<LogStore> store);

  Status Listen();
  void Accept();
  void TakeConnection(boost::asio::ip::tcp::socket socket);
  void OnFrame(const LinkPtr& link, FrameType type, std::string_view body);
  void OnEnvelope(const QuorumEnvelope& envelope);

  void ScheduleTick();
  void Tick();
  void Drive();
  bool DriveOnce();
  Status Persist(const QuorumOutput& output);
  void NoticeReign();
  void MaybeSnapshot();
  void MaybeFound();
  void UpdatePeers();
  bool IsFresh() const;

  void ReviewMembers(Time now);
  bool Admitted(const MemberHello& hello) const;
  std::optional<QuorumConfig> NextConfig(Time now) const;
  std::optional<QuorumConfig> WithPromotion(Time now) const;
  std::optional<QuorumConfig> WithoutReplaced(Time now) const;

  boost::asio::io_context& io_;
  QuorumHostSettings settings_;
  std::unique_ptr<LogStore> store_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  std::vector<ControlSeed> seeds_;
  QuorumHooks hooks_;
  std::shared_ptr<MemberLinks> links_;
  std::map<Link*, LinkPtr> inbound_;
  struct HeardMember {
    MemberHello hello;
    Time at;
  };
  std::map<VmId, HeardMember> heard_;
  QuorumState quorum_;
  QuorumTerm reign_;
  bool reigning_ = false;
  Time reign_start_;
  std::map<MemberId, Time> joined_;  ///< voters that joined in this reign
  Time next_review_;
  bool drive_due_ = false;
  bool stopped_ = false;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_QUORUM_HOST_H_
