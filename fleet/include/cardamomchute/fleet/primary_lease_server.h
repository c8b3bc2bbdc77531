/// Grants relays leases on primaries: as the control leader, or with what the
/// leader delegated to this member. Runs on the control thread.
#ifndef CARDAMOMCHUTE_FLEET_PRIMARY_LEASE_SERVER_H_
#define CARDAMOMCHUTE_FLEET_PRIMARY_LEASE_SERVER_H_

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cardamomchute/fleet/messages.h"
#include "cardamomchute/policy/primary_lease.h"

namespace cardamomchute {

struct PrimaryLeaseServerParams {
  VmId self;
  /// As the leader: the leases that may be granted now; nullopt otherwise, or
  /// while no quorum has confirmed the leadership.
  std::function<std::optional<GrantableLeases>()> grantable;
  /// Sends a request to the leader, if one is known.
  std::function<void(const GrantableRequest&)> ask_leader;
};

class PrimaryLeaseServer {
 public:
  using Reply = std::function<void(const PrimaryLeaseGrant&)>;

  explicit PrimaryLeaseServer(PrimaryLeaseServerParams params)
      : params_(std::move(params)) {}

  /// Answers a relay, at once or when the leader has answered this member.
  void OnRequest(const PrimaryLeaseRequest& request, Reply reply);
  /// Answers another member; nullopt if this one may grant nothing.
  std::optional<GrantableAnswer> OnGrantableRequest(
      const GrantableRequest& request);
  void OnGrantableAnswer(const GrantableAnswer& answer);
  void OnLeadershipChange(bool is_leader);
  /// Returns when the last lease on the group's primary ends.
  Time EndOf(const GroupId& group) const { return LeasesEnd(ledger_, group); }
  /// Returns when the leases of earlier leaders end.
  Time InheritedEnd() const { return ledger_.inherited; }

 private:
  struct Waiting {
    PrimaryLeaseRequest request;
    Reply reply;
    Time since;
  };

  std::optional<GrantableLeases> Available(Time now);
  void AskLeader(Time now);
  void Answer(const PrimaryLeaseRequest& request,
              const GrantableLeases& available, const Reply& reply);

  PrimaryLeaseServerParams params_;
  LeaseLedger ledger_;         ///< kept while leading
  GrantableLeases delegated_;  ///< by the leader
  uint64_t number_ = 0;
  Time asked_;
  std::vector<Waiting> waiting_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_FLEET_PRIMARY_LEASE_SERVER_H_
