/// A control member for a fleet of relays: replicates the accepted layout in
/// the quorum's log, collects endpoint announcements, pushes both to relays,
/// and replaces failed primaries.
///
/// Runs on the control thread. Every member accepts announcements and serves
/// relays; only the leader accepts layouts and replaces primaries.
#ifndef CARDAMOMCHUTE_FLEET_FLEET_CONTROLLER_H_
#define CARDAMOMCHUTE_FLEET_FLEET_CONTROLLER_H_

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cardamomchute/fleet/key_authority_server.h"
#include "cardamomchute/fleet/messages.h"
#include "cardamomchute/fleet/primary_lease_server.h"
#include "cardamomchute/fleet/primary_replacement.h"
#include "cardamomchute/fleet/replicated_state.h"
#include "cardamomchute/peers/leadership_barrier.h"
#include "cardamomchute/peers/quorum_host.h"
#include "cardamomchute/policy/documents/layout.h"
#include "cardamomchute/policy/documents/layout_push.h"
#include "cardamomchute/policy/routing/endpoint_leave.h"
#include "cardamomchute/policy/routing/endpoint_revival.h"
#include "cardamomchute/policy/routing/unnamed_announcements.h"

namespace cardamomchute {

struct FleetControllerParams {
  boost::asio::io_context* io = nullptr;
  VmId name;       ///< used in promote requests and logs
  Address listen;  ///< where relays and other members connect
  std::filesystem::path data_folder;
  std::vector<Address> seeds;
  bool may_bootstrap = false;
  std::function<Result<Layout>(std::string_view)> parse_layout;
  EndpointProtocol endpoint_protocol;
  PromoteFunction promote;
  /// The platform checks fence tokens, and a replaced primary refuses all
  /// statements that need the primary. Relays then need no leases.
  bool fencing = false;
  /// Longest time for which relays may use a map of keepers of rate limits.
  /// None: there is no map.
  std::optional<Duration> keeper_grant;
  /// A key that is taken away is used nowhere after this long. None: relays are
  /// granted no authority over keys, as they need none.
  std::optional<Duration> key_revocation;
  std::function<void(Error)> on_failure;
};

enum class CallOutcome : uint8_t {
  kDone,
  kInvalid,      ///< the input is invalid
  kOtherLeader,  ///< another member is the leader: `leader`
  kUnavailable,  ///< no confirmed leader at present
};

struct LayoutResult {
  CallOutcome outcome = CallOutcome::kUnavailable;
  std::string text;    ///< the layout, or the error
  std::string leader;  ///< host of the leader
};

using LayoutDone = std::function<void(LayoutResult)>;

class FleetController {
 public:
  explicit FleetController(FleetControllerParams params);
  ~FleetController();

  Status Start();
  void Stop();
  void SetSeeds(const std::vector<Address>& seeds);

  /// Submits a layout. `done` gets kDone once a quorum has persisted it. The
  /// highest version is in force: kDone without effect for a version that is
  /// not higher.
  void PutLayout(std::string text, LayoutDone done);
  /// Returns the layout in force, after confirming the leadership.
  void GetLayout(LayoutDone done);
  /// Adds an endpoint's announcement to the directory, once a layout names its
  /// group: until then it does not concern what the directory has under its id
  /// or address. Returns false if this member has no contact with the leader.
  bool Announce(const EndpointRecord& record);
  /// Marks an endpoint as gone if the leave is of its process. Returns false if
  /// this member has no contact with the leader, or cannot tell which process
  /// the leave is of: another member may know.
  bool Leave(const EndpointLeave& leave);
  bool leading() const { return host_ && host_->leading(); }
  bool has_leader_contact() const {
    return host_ && host_->HasLeaderContact(Now());
  }
  /// Whether the disk takes no writes; see QuorumHost.
  bool disk_refuses() const { return host_ && host_->disk_refuses(); }
  uint64_t layout_version() const { return layout_.version; }
  /// The keepers of rate limits, as applied here. A leader may grant the map
  /// only while a round confirms it, for `keeper_grant` from the round's start.
  const KeeperMap& keepers() const { return keepers_; }
  /// Number of relays that this member serves.
  size_t relays() const { return relays_.size(); }
  /// Number of them that have not confirmed the layout in force.
  size_t RelaysBehind() const;

 private:
  using LinkPtr = std::shared_ptr<Link>;
  /// A layout to send differences from: version and text.
  using Base = std::pair<const uint64_t, std::string>;
  struct PendingPut {
    QuorumTerm term;
    LayoutDone done;
  };
  struct ConnectedRelay {
    LinkPtr link;
    VmId vm;
    RelayLayout layout;
    bool has_directory = false;  ///< was sent the directory
  };
  /// The directory as relays that connect are sent it. Packing it takes long
  /// in large fleets, and after a restart relays keep coming.
  struct PackedDirectory {
    DirectoryPush push;  ///< without the layout
    uint64_t layout_version = 0;
    /// By whether a relay takes compressed messages; packed when first needed.
    std::map<bool, std::string> with_layout;
    std::map<bool, std::string> without_layout;
    DirectoryDelta changes;  ///< since `push`
  };
  /// A relay that connected while no leader was known.
  struct WaitingRelay {
    LinkPtr link;
    RelayReport report;
    Time until;
  };

  QuorumHooks Hooks();
  void Apply(const LogEntry& entry);
  void Restore(const std::string& bytes);
  void TakeLayout(ReplicatedState state);
  void OnLeadershipChange(bool is_leader);
  void OnTick(Time now);
  void OnFrame(const LinkPtr& link, std::string_view body);
  void OnRelayReport(const LinkPtr& link, const RelayReport& report);
  void OnTrouble(const TroubleReport& report);
  void OnLagging(const TroubleReport& report);
  void OnLeaseRequest(const LinkPtr& link, const PrimaryLeaseRequest& request);
  void OnGrantableRequest(const GrantableRequest& request);
  void OnAuthorityRequest(const LinkPtr& link, const AuthorityRequest& request);
  void OnLinkLost(const LinkPtr& link);
  PrimaryLeaseServerParams LeaseParams();
  KeyAuthorityServerParams KeyAuthorityParams();
  /// Returns whether a leader is known and connected.
  bool SendToLeader(const FleetMessage& message);
  void ServeWaiting(Time now, bool has_leader_contact);
  void TakeDelta(const DirectoryDelta& delta, bool from_member);
  void OnDirectoryChange(const DirectoryDelta& changed, bool first_hand);
  bool NamesGroup(const GroupId& group);
  void RefreshNamedGroups();
  void KeepUnnamed(const EndpointRecord& record);
  void AdmitUnnamed(Time now);
  void RenewPackedDirectory();
  const std::string& PackedDirectoryFor(const ConnectedRelay& relay);
  void SendDirectoryToNewRelays(Time now);
  /// Returns the message for relays of this and of older releases.
  static const std::string& PackedFor(const ConnectedRelay& relay,
                                      const FleetMessage& message,
                                      std::map<bool, std::string>* packed);
  void ExpireRecords(Time now);
  void Flush();
  void PushLayout(Time now);
  /// Returns the layout in force as a difference from `base`, for relays of
  /// this release.
  const std::string& PackedChange(
      const Base& base, std::map<uint64_t, std::string>* packed) const;
  /// Sends a message that holds the layout in force.
  void SendLayout(ConnectedRelay* relay, const std::string& message,
                  Time now) const;
  void RetainBases();
  void LogLayoutProgress(Time now);
  void SendFarewells();
  void NotifyFormerRelays(Time now);
  void LoadDirectory();
  void SaveDirectory(Time now);
  DirectoryPush BarePush() const;
  LayoutResult Elsewhere() const;

  void ReviewPrimaries(Time now);
  void ReviewPrimary(const GroupId& group, Time now);
  void SetPrimary(const GroupId& group, const EndpointId& endpoint, Term term);
  /// `lag_bound`: for kLagging, see PrimaryReplacementParams.
  void ReplacePrimary(const GroupId& group, PrimaryReplacementCause cause,
                      Duration lag_bound = Duration());
  std::optional<GrantableLeases> Grantable() const;
  /// As the leader: the authority over keys by the last confirmed round.
  std::optional<KeyGrant> OwnKeyGrant() const;
  void ConfirmPrimary(const GroupId& group);
  PrimaryReplacementParams ReplacementParams(const GroupId& group,
                                             PrimaryReplacementCause cause,
                                             Duration lag_bound);
  /// Whether this leader knows what was recorded before its election.
  bool KnowsOrders() const;
  const PromotionOrders& OrdersOf(const GroupId& group) const;
  /// Records the group's orders. Runs `done` once a quorum has them, with the
  /// time until which no other leader sends orders.
  void RecordOrders(const GroupId& group, const PromotionOrders& orders,
                    std::function<void(Time)> done);
  void ReviewKeepers(Time now);
  void RecordKeepers(KeeperMap next);
  void TakeKeepers(KeeperMap keepers);
  /// Whether the layout in force limits an organisation.
  bool HasLimits() const;
  /// Whether the endpoint has been silent for so long that it is treated as
  /// lost along with its log.
  bool IsLostForGood(const EndpointId& endpoint, Time now) const;
  std::vector<EndpointRecord> CountedMembers(const GroupId& group) const;
  /// Notes which replicas were lost. A run of the group does so itself.
  void NoteCopies(const GroupId& group);
  /// Whether a replica left not long ago, as a new leader can tell.
  bool HasRecentLoss(const GroupId& group, Time now) const;
  /// Returns the layout in force, parsed when it is first needed: replaying
  /// the log applies many. Null if there is none.
  const Layout* ParsedLayout() const;

  FleetControllerParams params_;
  std::shared_ptr<QuorumHost> host_;
  LeadershipBarrier rounds_;
  PrimaryLeaseServer leases_;
  KeyAuthorityServer key_authority_;
  StoredLayout layout_;
  /// Orders to promote that may take effect, as recorded in the log.
  std::map<GroupId, PromotionOrders> orders_;
  KeeperMap keepers_;  ///< as recorded in the log
  KeeperLedger keeper_ledger_;
  QuorumTerm applied_term_;  ///< of the last log entry that was applied
  mutable std::optional<Layout> parsed_;
  bool layout_due_ = false;  ///< not yet pushed to all relays
  /// Texts of layouts that relays hold, by version.
  std::map<uint64_t, std::string> bases_;
  Time next_layout_push_;
  Time layout_since_;  ///< when `layout_` came in force at this member
  uint64_t logged_confirmed_ = 0;  ///< last version logged as confirmed
  uint64_t logged_overdue_ = 0;    ///< last version logged as overdue
  Directory directory_;
  RevivalEvidence revival_evidence_;
  UnnamedAnnouncements unnamed_;
  /// The groups that layout `named_version_` names.
  std::set<GroupId> named_groups_;
  uint64_t named_version_ = 0;
  std::map<LogIndex, PendingPut> pending_;
  std::map<Link*, ConnectedRelay> relays_;
  std::map<Link*, WaitingRelay> waiting_;
  DirectoryDelta to_relays_;
  DirectoryDelta to_members_;
  std::optional<PackedDirectory> packed_directory_;
  Time packed_until_;
  std::map<GroupId, std::shared_ptr<PrimaryReplacement>> replacements_;
  /// Groups whose recorded primary this leader knows to be the only one, and
  /// that no order can replace.
  std::set<GroupId> confirmed_;
  /// How often a replacement of the group's primary has begun.
  std::map<GroupId, uint64_t> doubts_;
  /// Of the leader only. A run has its own until it ends.
  std::map<GroupId, GroupCopies> copies_;
  std::map<GroupId, Time> next_review_;
  std::map<GroupId, Time> primary_set_at_;
  std::map<GroupId, Time> next_lag_look_;
  /// Relays that were known before this process started. They may be looking
  /// for control, and know only the seeds.
  std::vector<Address> former_relays_;
  /// Links on which they are told where control is, closed after a while.
  std::vector<LinkPtr> notices_;
  Time notices_end_;
  Time next_cache_;
  bool cache_due_ = false;
  uint64_t changes_ = 0;  ///< primary changes in this control term
  uint64_t tokens_ = 0;   ///< fence tokens issued in this term
  Time next_flush_;
  Time next_expiry_;
  bool out_of_touch_ = false;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_FLEET_FLEET_CONTROLLER_H_
