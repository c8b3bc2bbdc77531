/// A VM's client of the control quorum: maintains the VM's lease and cluster
/// view, and sends its requests to the leader.
///
/// Lives on the control thread. The functions it returns may be called on any
/// thread; their `done` callbacks run on the control thread.
#ifndef CARDAMOMCHUTE_PEERS_CONTROL_AGENT_H_
#define CARDAMOMCHUTE_PEERS_CONTROL_AGENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cardamomchute/base/settings.h"
#include "cardamomchute/peers/control_client.h"
#include "cardamomchute/peers/control_messages.h"
#include "cardamomchute/policy/quorum/control_state_view.h"
#include "cardamomchute/policy/sessions/operations.h"

namespace cardamomchute {

class Link;

struct ControlAgentSettings {
  VmId vm;
  Zone zone;
  Environment environment;
  Address peer_address;
  std::vector<ControlSeed> seeds;
};

/// Changes the membership of the control quorum. An admitted VM joins when it
/// is started with an empty data folder and the seeds of the running system.
struct MemberApi {
  std::function<void(VmId, Address, std::function<void(Status)>)> admit;
  std::function<void(VmId, std::function<void(Status)>)> exclude;
};

class ControlAgent : public std::enable_shared_from_this<ControlAgent> {
 public:
  ControlAgent(boost::asio::io_context& io, ControlAgentSettings settings,
               DocumentReader read);
  ~ControlAgent();

  void Start();
  void Stop();

  LeaseClock& lease() { return lease_; }
  ViewStore& views() { return views_; }
  /// Proposes changes of group records, see control_client.h.
  ProposeGroupChange group_changes();
  /// Submits documents and reads history and status. A call fails with
  /// kTimeout if no leader answers within 10 s.
  OperatorApi operators();
  MemberApi members();
  /// Announces endpoints to the leader, which stores them until their TTL ends.
  /// Announcements are repeated to each new leader.
  AnnounceSink announcements();

  /// Marks the VM as draining, so that it is assigned no further groups. The
  /// leader is notified at the next tick.
  void SetDraining(bool draining);
  /// Whether the VM has been granted a lease and has a document. The grant
  /// implies that the VM received every change committed before it.
  bool Ready() const;
  /// The address of the connected member, if any. For tests and status.
  std::optional<Address> connected_to() const;

 private:
  using LinkPtr = std::shared_ptr<Link>;
  using CallDone = std::function<void(Result<std::string>)>;
  struct PendingCall {
    std::string message;
    CallDone done;
    Time deadline;
    std::optional<Time> resend;
  };
  /// An endpoint announced by this VM, sent until the leader acknowledges it.
  struct HeldAnnouncement {
    SoftEndpoint endpoint;
    Time expires;
    /// Number of the latest change; 0 once the leader has acknowledged it.
    uint64_t unacked_change = 1;
  };
  struct SentRenewal {
    Time sent;
    std::map<EndpointId, uint64_t> announcements;
  };

  void Tick();
  void ScheduleTick();
  void Connect(Time now);
  Address NextTarget();
  void OnConnected(const Address& address, LinkPtr link);
  void Disconnect(const std::string& reason);
  void OnFrame(const LinkPtr& link, std::string_view body);
  void OnLeaseGrant(const LeaseGrant& granted);
  void OnRedirect(const Redirect& redirect);
  void OnViewPush(const ViewPush& push);
  void OnSoftPush(const SoftPush& push);
  void OnCallAnswer(const CallAnswer& answer);
  void SendHello();
  void SendRenewal(Time now);
  std::vector<SoftAnnouncement> CollectAnnouncements(SentRenewal& renewal,
                                                     Time now);
  void Announce(const Announcement& announcement);
  void SchedulePublish();
  void Publish();
  void StartCall(CallBody body, CallDone done);
  void ResendCalls(Time now);
  void ExpireCalls(Time now);
  Result<StatusReport> UnpackStatus(const std::string& packed) const;

  boost::asio::io_context& io_;
  ControlAgentSettings settings_;
  DocumentReader read_;
  Incarnation incarnation_;
  boost::asio::steady_timer timer_;
  LeaseClock lease_;
  ViewStore views_;
  ViewRecords records_;
  LinkPtr link_;
  std::optional<Address> target_;  ///< of `link_` or of the connection attempt
  std::optional<Address> leader_;  ///< from the latest redirect
  bool connecting_ = false;
  bool stopped_ = false;
  bool draining_ = false;
  bool granted_ = false;
  bool publish_due_ = false;
  size_t next_seed_ = 0;
  Time next_connect_;
  Time next_renewal_;
  Time last_grant_;  ///< or when the link was established
  std::optional<Time> next_hello_;
  uint64_t last_nonce_ = 0;
  QuorumTerm leader_term_;
  std::map<uint64_t, SentRenewal> renewals_;
  std::map<EndpointId, HeldAnnouncement> announcements_;
  uint64_t last_call_ = 0;
  std::map<uint64_t, PendingCall> calls_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_CONTROL_AGENT_H_
