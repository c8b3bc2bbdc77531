/// Every VM's side of the control quorum: keeps its lease and its view, and
/// carries requests to the leading member.
///
/// Lives on the control thread; the functions it hands out may be called from
/// any thread, and every `done` runs on the control thread.
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
#include "cardamomchute/policy/control_state_view.h"
#include "cardamomchute/policy/operations.h"

namespace cardamomchute {

class Link;

struct ControlAgentSettings {
  VmId vm;
  Zone zone;
  Environment environment;
  Address peer_address;
  std::vector<ControlSeed> seeds;
};

/// Changes who the control members are. A VM that is admitted joins when it
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
  ProposeGroupChange group_changes();
  OperatorApi operators();
  MemberApi members();
  AnnounceSink announcements();

  /// A draining VM gets no further groups; told to the leader at once.
  void SetDraining(bool draining);
  /// The VM has had a lease, hence all that was accepted before that grant,
  /// and there is a document to serve under.
  bool Ready() const;
  /// The member it is connected to; empty if none. For tests and status.
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
  struct HeldAnnouncement {
    SoftEndpoint endpoint;
    Time expires;
    uint64_t unsent = 1;  ///< 0: the leader has it; else counts its changes
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
  void OnGranted(const Granted& granted);
  void OnRedirect(const Redirect& redirect);
  void OnViewPush(const ViewPush& push);
  void OnSoftPush(const SoftPush& push);
  void OnCallAnswer(const CallAnswer& answer);
  void SendHello();
  void SendRenewal(Time now);
  std::vector<SoftAnnouncement> TakeAnnouncements(SentRenewal& renewal,
                                                  Time now);
  void Announce(const Announcement& announcement);
  void SchedulePublish();
  void Publish();
  void StartCall(CallBody body, CallDone done);
  void ResendCalls(Time now);
  void ExpireCalls(Time now);
  Result<StatusReport> ReadStatus(const std::string& packed) const;

  boost::asio::io_context& io_;
  ControlAgentSettings settings_;
  DocumentReader read_;
  Incarnation incarnation_;
  boost::asio::steady_timer timer_;
  LeaseClock lease_;
  ViewStore views_;
  ViewRecords records_;
  LinkPtr link_;
  std::optional<Address> target_;  ///< of `link_` or of the attempt
  std::optional<Address> leader_;  ///< where a redirect pointed
  bool connecting_ = false;
  bool stopped_ = false;
  bool draining_ = false;
  bool granted_ = false;
  bool publish_due_ = false;
  size_t next_seed_ = 0;
  Time next_connect_;
  Time next_renewal_;
  Time last_grant_;  ///< or when the link came up
  std::optional<Time> next_hello_;
  uint64_t last_nonce_ = 0;
  QuorumTerm reign_;
  std::map<uint64_t, SentRenewal> renewals_;
  std::map<EndpointId, HeldAnnouncement> announcements_;
  uint64_t last_call_ = 0;
  std::map<uint64_t, PendingCall> calls_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_CONTROL_AGENT_H_
