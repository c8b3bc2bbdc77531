/// The traffic of one VM: callers' sessions, pools of connections to endpoints,
/// and links to other VMs that hold connections. Runs on the traffic thread.
#ifndef CARDAMOMCHUTE_RELAY_RELAY_H_
#define CARDAMOMCHUTE_RELAY_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cardamomchute/base/tcp_listener.h"
#include "cardamomchute/policy/admission/session_limits.h"
#include "cardamomchute/policy/documents/layout.h"
#include "cardamomchute/policy/lease/primary_lease.h"
#include "cardamomchute/policy/routing/directory.h"
#include "cardamomchute/policy/routing/holders.h"
#include "cardamomchute/policy/routing/outliers.h"
#include "cardamomchute/policy/routing/read_choice.h"
#include "cardamomchute/policy/sessions/relay_drain.h"
#include "cardamomchute/relay/endpoint_pool.h"
#include "cardamomchute/relay/held_key_authority.h"
#include "cardamomchute/relay/protocol.h"
#include "cardamomchute/relay/relay_mesh.h"
#include "cardamomchute/relay/relay_metrics.h"

namespace cardamomchute {

class RateLimiter;
class RelayedSession;
enum class LimitVerdict : uint8_t;

struct RelayParams {
  boost::asio::io_context* io = nullptr;
  VmId vm;
  Zone zone;
  Address callers;  ///< where callers connect
  Address peers;    ///< where other relays connect
  CallerProtocol caller_protocol;
  EndpointProtocol endpoint_protocol;
  Metrics* metrics = nullptr;
  /// Reports a problem with an endpoint to the control members; called on the
  /// traffic thread.
  std::function<void(const GroupId&, const EndpointId&, EndpointProblem)>
      report;
  /// Requests leases on the primaries of these groups; `OnLeases` gets the
  /// answer. Empty if none are needed, not even for commits of writes. Called
  /// on the traffic thread.
  std::function<void(uint64_t number, const std::vector<GroupId>&)> ask_leases;
  /// Reads at the primary need a lease, too: a replaced one goes on serving.
  bool reads_need_lease = false;
  /// Keys of callers are used only under an authority from control, which ends
  /// before this time. None: no authority is needed.
  std::optional<Duration> key_revocation;
  /// Asks control for that; `OnAuthority` gets the answer. Called on the
  /// traffic thread.
  std::function<void(uint64_t number, uint64_t layout_version)> ask_authority;
  /// None: rate limits are not enforced.
  std::optional<RateTolerance> rate_tolerance;
  /// Gets addresses of control members that have called this relay; on the
  /// traffic thread.
  std::function<void(const std::vector<Address>&)> on_control_hint;
  SessionLimits limits;
};

/// Destination of a statement.
struct Target {
  EndpointRecord endpoint;
  Address holder;  ///< VM to send to; port 0: this VM
  bool is_primary = false;
};

class Relay : public std::enable_shared_from_this<Relay> {
 public:
  explicit Relay(RelayParams params);
  ~Relay();

  Status Start();
  /// Merges `delta`. Holders are assigned anew soon, not for each of many
  /// deltas in quick succession.
  void OnDirectory(const DirectoryDelta& delta);
  void OnLayout(std::shared_ptr<const Layout> layout);
  /// Takes the answer to request `number`: leases on `primaries` of `terms` for
  /// `valid` from when it was sent. A lease without a term allows reads only.
  void OnLeases(uint64_t number, Duration valid,
                const std::map<GroupId, EndpointId>& primaries,
                const std::map<GroupId, Term>& terms);
  /// Takes the answer to question `number`: the authority over the keys of
  /// layout `granted` and of later ones, for `valid` from when it was sent.
  /// The map of keepers of version `keeper_version` may be used as long;
  /// `keeper_map` is empty if this relay has it.
  void OnAuthority(uint64_t number, uint64_t granted, Duration valid,
                   uint64_t keeper_version = 0,
                   const std::optional<KeeperMap>& keeper_map = std::nullopt);
  /// Returns the version of the map of keepers that this relay has; 0: none.
  uint64_t KeeperVersion() const;
  /// Asks for authority over keys at once, if it is needed: control is on
  /// another link.
  void AskAuthority();
  /// Drops the lease on the group's primary, and answers to earlier requests.
  void RevokeLease(const GroupId& group);
  /// Takes the keepers of rate limits, as granted until `valid_until`.
  void SetKeeperMap(const KeeperMap& map, Time valid_until);
  /// The same, if the map that this relay has is of that version.
  void ExtendKeeperMap(uint64_t version, Time valid_until);
  /// Closes sessions as they become idle. After `transactions`, statements are
  /// refused, also those of open transactions and of other relays. `done` runs
  /// once, by `limit` at the latest.
  void Drain(Duration transactions, Duration limit, std::function<void()> done);
  void Stop();

  // Called by sessions.
  const RelayParams& params() const { return params_; }
  RelayMetrics& metrics() { return metrics_; }
  std::shared_ptr<const Layout> layout() const { return layout_; }
  /// Returns whether a session is to be closed as soon as it is idle.
  bool ClosesAfterAnswers() const;
  /// Returns whether statements are refused, as the VM is about to stop.
  bool RefusesStatements() const;
  /// Whether the keys of the layout in force may be used now; also if that
  /// needs no authority. If not, counts a refusal.
  bool HasKeyAuthority();
  uint64_t NextRun() { return ++next_run_; }
  /// Calls `done` once, by `hold_until`: whether the organisation may begin an
  /// operation. At once if it has no limit.
  void AcceptOperation(const OrganisationName& organisation, Time hold_until,
                       std::function<void(LimitVerdict)> done);
  /// Returns the group's primary, through a VM that is expected to reach it.
  /// Statements of one organisation prefer the same one.
  std::optional<Target> PrimaryOf(
      const GroupId& group,
      const OrganisationName& organisation = OrganisationName()) const;
  /// Returns false if only endpoints that leave and get nothing new any more
  /// could take a statement that is to begin.
  bool MayBegin(const GroupId& group, bool at_primary) const;
  /// Returns a replica for a read that is not in `tried`, the primary if there
  /// is none, or nullopt if that was tried, too.
  std::optional<Target> ReaderOf(
      const GroupId& group, Duration max_staleness,
      const std::set<EndpointId>& tried,
      const OrganisationName& organisation = OrganisationName()) const;
  void Run(const Target& target, RunRequest request, bool wrote, RunDone done);
  void Abandon(const Target& target, const AbandonRun& abandon);
  void Remove(const std::shared_ptr<RelayedSession>& session);
  /// A session that held `before` bytes now holds `now`. While all hold more
  /// than is allowed, closes those that hold most.
  void NoteHeld(size_t before, size_t now);
  /// Counts a session that is closed for what its caller did.
  void NoteClosed(const std::string& cause);

 private:
  struct Load {
    uint64_t waiting = 0;
    uint64_t sent_since = 0;  ///< reads sent there after that was said
    Duration expected_wait;
    uint64_t slowdown_percent = 0;
    Time at;
  };
  struct LeaseRequest {
    GroupId group;
    Time asked;
  };

  void TakeCaller(boost::asio::ip::tcp::socket socket);
  std::vector<SessionUse> SessionUses() const;
  void CloseSession(uint64_t number, const std::string& cause);
  /// Logs how many sessions were closed since the last line, by cause.
  void LogClosed();
  void AssignSoon();
  void Assign();
  void UpdateHeld();
  /// Returns whether the layout names the group: only then may its endpoints be
  /// connected to ahead of a statement.
  bool Named(const GroupId& group) const;
  void UpdatePools();
  void ScheduleSweep();
  void Sweep();
  void CheckDrained();
  /// Returns whether the statement of another relay comes too late, as this VM
  /// is about to stop; answers it if so.
  bool RefuseForDrain(const RelayLink& from, const RunRequest& request,
                      const RunDone& done);
  std::optional<Target> HolderOf(const EndpointRecord& endpoint,
                                 const OrganisationName& organisation) const;
  /// Returns the VM to use for the endpoint, port 0 for this one; nullopt if
  /// none is expected to reach it.
  std::optional<Address> HolderAddressOf(
      const EndpointId& endpoint, const OrganisationName& organisation) const;
  /// Returns the indexes of the active holders in the order to try them.
  std::vector<size_t> HolderOrder(const EndpointId& endpoint,
                                  const std::vector<RelayRecord>& active,
                                  const OrganisationName& organisation) const;
  /// Returns the address to send to, port 0 for this VM.
  Address AddressOf(const RelayRecord& holder) const;
  /// Returns how many statements wait or run at the holder; 0 if unknown.
  uint64_t WaitingAt(const EndpointId& endpoint, const Address& holder) const;
  /// Returns how many statements a holder of `sharers` may have under way.
  uint32_t HolderSlots(const EndpointId& endpoint, size_t sharers) const;
  /// Returns how many VMs share the endpoint's slots, or 0 if this VM is not
  /// one of them.
  size_t SharersWith(const EndpointId& endpoint) const;
  bool Usable(const EndpointId& endpoint, const Address& holder) const;
  void NoteLag(const EndpointId& endpoint, Duration max_staleness,
               bool lagging);
  /// Returns whether the replica may take a read now.
  bool MayRead(const EndpointRecord& member, Duration max_staleness,
               const std::set<EndpointId>& tried,
               const OrganisationName& organisation) const;
  ReadCandidate CandidateOf(const EndpointRecord& member) const;
  WorkKind NoteReadSent(const EndpointRecord& endpoint,
                        const RunRequest& request);
  void NoteReadDone(const GroupId& group, const EndpointId& endpoint,
                    WorkKind kind, const RunAnswer& answer);
  void NoteLoad(const EndpointId& endpoint, const Address& holder,
                const RunAnswer& answer);
  void SweepReaders(Time now);
  std::shared_ptr<EndpointPool> PoolOf(const EndpointId& endpoint,
                                       const GroupId& group,
                                       const Address& address);
  OrganisationName OwnOrganisation() const;
  void SetPoolBounds(const EndpointId& endpoint, EndpointPool* pool);
  void AskFloor(const GroupId& group,
                std::function<void(std::optional<FloorAnswer>)> done);
  void AskLease(const GroupId& group);
  bool NeedsKeyAuthority() const;
  void RenewAuthority(Time now);
  void Avoid(const EndpointId& endpoint, const Address& holder);
  bool Avoided(const EndpointId& endpoint, const Address& holder) const;
  MeshHandlers Handlers();
  std::shared_ptr<RateLimiter> MakeLimiter();
  std::optional<RateLimit> LimitOf(const OrganisationName& organisation) const;
  bool AskTokens(const VmId& keeper, const TokenQuestion& question,
                 std::function<void(std::optional<TokenAnswer>)> done);

  RelayParams params_;
  RelayMetrics metrics_;
  std::shared_ptr<TcpListener> listener_;  ///< for callers
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer drain_timer_;
  boost::asio::steady_timer assign_timer_;
  Directory directory_;
  std::map<EndpointId, Holders> holders_;
  /// Endpoints of groups that the layout names, of which this VM is a holder.
  std::vector<EndpointId> held_;
  bool assign_due_ = false;
  Time assigned_at_;
  std::shared_ptr<const Layout> layout_;
  std::shared_ptr<RelayMesh> mesh_;
  std::shared_ptr<RateLimiter> limiter_;  ///< null: no limits are enforced
  std::map<EndpointId, std::shared_ptr<EndpointPool>> pools_;
  std::map<GroupId, HeldLease> leases_;
  /// When the newest lease request of each group was sent.
  std::map<GroupId, Time> lease_asked_;
  /// Lease requests without an answer, by number.
  std::map<uint64_t, LeaseRequest> lease_requests_;
  uint64_t next_lease_request_ = 0;
  std::optional<HeldKeyAuthority> key_authority_;
  std::map<EndpointId, Load> loads_;
  std::map<GroupId, GroupHealth> health_;  ///< of replicas that took reads
  /// Loads as each holder of an endpoint reported them.
  std::map<std::pair<EndpointId, Address>, Load> holder_loads_;
  std::map<std::pair<EndpointId, Address>, Time> avoid_until_;
  /// Back-off of a replica that lags too far for some reads.
  struct Lag {
    Time until;
    Duration pause;
  };
  /// Keyed by endpoint and the max_staleness of the reads.
  std::map<std::pair<EndpointId, Duration>, Lag> lagging_;
  std::set<std::shared_ptr<RelayedSession>> sessions_;
  uint64_t next_session_ = 0;
  size_t session_bytes_ = 0;  ///< held by all sessions
  /// Of the statements in all pools.
  std::shared_ptr<size_t> statement_bytes_ = std::make_shared<size_t>(0);
  std::map<std::string, uint64_t> closed_for_cause_;
  uint64_t next_run_ = 0;
  std::optional<RelayDrain> drain_;
  std::function<void()> drained_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_RELAY_RELAY_H_
