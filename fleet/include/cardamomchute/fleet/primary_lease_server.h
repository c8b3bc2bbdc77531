/// Grants relays leases on primaries, as the control leader or with what the
/// leader delegated to this member, and takes them back. Runs on the control
/// thread.
#ifndef CARDAMOMCHUTE_FLEET_PRIMARY_LEASE_SERVER_H_
#define CARDAMOMCHUTE_FLEET_PRIMARY_LEASE_SERVER_H_

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cardamomchute/fleet/messages.h"
#include "cardamomchute/policy/lease/primary_lease.h"

namespace cardamomchute {

class Link;

struct PrimaryLeaseServerParams {
  VmId self;
  /// As the leader: the leases that may be granted now; nullopt otherwise, or
  /// while no quorum has confirmed the leadership.
  std::function<std::optional<GrantableLeases>()> grantable;
  /// Sends to the leader; returns whether it could.
  std::function<bool(const FleetMessage&)> send_to_leader;
  std::function<void(const VmId&, const FleetMessage&)> send_to_member;
  /// This member's term of the control quorum.
  std::function<QuorumTerm()> term;
  /// Whether this member acts as the leader.
  std::function<bool()> leads;
  /// Returns the other members of the quorum's configuration.
  std::function<std::vector<VmId>()> members;
};

class PrimaryLeaseServer {
 public:
  using Send = std::function<void(const FleetMessage&)>;

  explicit PrimaryLeaseServer(PrimaryLeaseServerParams params);

  /// Answers a relay, at once or when the leader has answered this member.
  /// `send` sends on `link`, which only identifies the relay.
  void OnRequest(const Link* link, const PrimaryLeaseRequest& request,
                 Send send);
  void OnLinkLost(const Link* link);
  /// Answers another member; nullopt if this one may grant nothing.
  std::optional<GrantableAnswer> OnGrantableRequest(
      const GrantableRequest& request);
  void OnGrantableAnswer(const GrantableAnswer& answer);
  void OnLeadershipChange(bool is_leader);
  /// Revokes the leases on the group's primary, as the leader. `done` runs once
  /// none can be held any more, possibly from within this call; never if the
  /// leadership ends before. A call during a revocation joins it. Until `done`
  /// no leases are granted for the group; the caller's `grantable` keeps it so
  /// afterwards.
  void Revoke(const GroupId& group, std::function<void()> done);
  /// Handles the leader's revocation, as another member.
  void OnRevocation(const LeaseRevocation& revocation);
  /// Handles the confirmation of a relay or of another member.
  void OnRevoked(const Link* link, const LeaseRevoked& revoked);
  void OnTick(Time now);
  /// Returns when the last lease on the group's primary ends.
  Time EndOf(const GroupId& group) const { return LeasesEnd(ledger_, group); }
  /// Returns when the last order of an earlier leader may have been sent.
  Time FirstOrderAt() const { return OrderWindowEnd(ledger_.since); }

 private:
  /// A relay that has asked for leases on its present link.
  struct RelayPeer {
    LeaseHolder holder;
    bool takes_revocations = false;
    Send send;
  };
  struct MemberPeer {
    LeaseHolder holder;
    bool takes_revocations = false;
  };
  struct Waiting {
    const Link* link;
    PrimaryLeaseRequest request;
    Time since;
  };
  struct RunningRevocation {
    Revocation progress;
    Time since;
    Time next_send;
    std::vector<std::function<void()>> done;
  };

  std::optional<GrantableLeases> Own();
  std::optional<GrantableLeases> Available(Time now);
  bool AskLeader(Time now);
  void Answer(const Link* link, const PrimaryLeaseRequest& request,
              const GrantableLeases& available);
  LeaseHolder NewHolder() { return LeaseHolder(++holders_); }
  std::optional<LeaseHolder> HolderOf(const Link* link, const VmId& vm) const;
  MemberPeer& Member(const VmId& vm);
  LeaseEnds RelaysHolding(const GroupId& group) const;
  void Start(const GroupId& group, uint64_t number, const LeaseEnds& holders,
             std::function<void()> done);
  void SendRevocation(const GroupId& group, RunningRevocation* run, Time now);
  void FinishIfRevoked(const GroupId& group);
  void ConfirmToLeader(const GroupId& group, uint64_t number);

  PrimaryLeaseServerParams params_;
  LeaseLedger ledger_;         ///< kept while leading
  GrantableLeases delegated_;  ///< by the leader
  uint64_t number_ = 0;
  Time asked_;
  std::vector<Waiting> waiting_;
  uint64_t holders_ = kEarlierProcess.value();
  std::map<const Link*, RelayPeer> relays_;
  std::map<VmId, MemberPeer> members_;
  /// Which relays may hold leases. Those of lost links stay until they end.
  std::map<GroupId, LeaseEnds> relay_ends_;
  /// End of leases that an earlier process of this member granted.
  Time earlier_end_;
  /// Started by this member as the leader, or taken from the leader.
  std::map<GroupId, RunningRevocation> revocations_;
  std::map<GroupId, TakenRevocation> taken_;
  uint64_t revocations_started_ = 0;  ///< in this leadership
  QuorumTerm introduced_;  ///< last term in which the leader was asked
  Time next_prune_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_FLEET_PRIMARY_LEASE_SERVER_H_
