/// A relay's link to a control member. Reports the relay and receives layouts,
/// endpoints and other relays. Runs on the control thread.
///
/// Any control member can serve a relay. A member that loses contact with the
/// quorum sends `Farewell`, and the relay then connects to another one. From
/// time to time it moves to the member that it prefers (RankMembers), so that
/// relays stay spread over the members; it keeps its link until the other
/// member serves it.
#ifndef CARDAMOMCHUTE_FLEET_CONTROL_LINK_H_
#define CARDAMOMCHUTE_FLEET_CONTROL_LINK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cardamomchute/fleet/messages.h"
#include "cardamomchute/peers/link.h"

namespace cardamomchute {

struct ControlLinkParams {
  boost::asio::io_context* io = nullptr;
  VmId vm;
  Zone zone;
  Address peers;                             ///< where other relays connect
  uint32_t slots_carried = kSlotsPerHolder;  ///< see RelayRecord
  /// Gets each push, with the whole layout if it holds one.
  std::function<void(const DirectoryPush&)> on_push;
  std::function<void(const PrimaryLeaseGrant&)> on_lease =
      [](const PrimaryLeaseGrant&) {};
  std::function<void(const AuthorityGrant&)> on_authority =
      [](const AuthorityGrant&) {};
  /// Another link is in use: answers to requests on earlier ones are lost.
  std::function<void()> on_link = [] {};
  /// Drops the lease on the group's primary, then calls `confirm` once. Without
  /// that the lease is waited for.
  std::function<void(const GroupId&, std::function<void()> confirm)>
      on_revocation = [](const GroupId&, const std::function<void()>&) {};
  /// Returns the currently configured seeds; called before each connection
  /// attempt.
  std::function<std::vector<Address>()> seeds;
};

class ControlLink : public std::enable_shared_from_this<ControlLink> {
 public:
  explicit ControlLink(ControlLinkParams params);

  void Start();
  /// Marks this relay as draining in its reports, and sends one at once.
  void SetDraining();
  /// Adds members to connect to, and tries one at once if there is no link.
  void AddMembers(const std::vector<Address>& members);
  /// Takes the layout of the current push as the one to route by. Called from
  /// within `on_push`; later changes build on it.
  void SetLayoutVersion(uint64_t version) { layout_version_ = version; }
  /// Tells control that this relay routes by `version`.
  void ConfirmLayout(uint64_t version);
  /// Reports a problem with an endpoint; dropped while the link is down.
  void Report(const GroupId& group, const EndpointId& endpoint,
              EndpointProblem trouble);
  /// Requests leases on primaries; dropped while the link is down.
  void RequestLeases(PrimaryLeaseRequest request);
  /// Requests the authority over keys; dropped while the link is down.
  void RequestAuthority(const AuthorityRequest& request);
  void Stop();

 private:
  using LinkPtr = std::shared_ptr<Link>;

  void Tick();
  void Dial();
  void Connect(const Address& address,
               void (ControlLink::*done)(const Address&, LinkPtr));
  void OnDialled(const Address& address, LinkPtr link);
  void ReviewMember(Time now);
  void OnPreferredDialled(const Address& address, LinkPtr link);
  void MoveToPreferred();
  void DropPreferred(const std::string& reason);
  void StartLink(const LinkPtr& link);
  void OnFrame(const LinkPtr& link, std::string_view body);
  void OnPush(DirectoryPush push);
  void OnRevocation(const LinkPtr& link, const LeaseRevocation& revocation);
  void OutrunEarlierProcess(const std::vector<RelayRecord>& relays);
  void OnLost(const LinkPtr& link, const std::string& reason);
  void Lose(const std::string& reason);
  void SendReport();
  RelayReport MakeReport() const;
  uint64_t Random(uint64_t salt) const;
  Time SpreadAfter(Duration delay) const;
  void RecordFailure();

  ControlLinkParams params_;
  boost::asio::steady_timer timer_;
  LinkPtr link_;
  Address member_;  ///< at the other end of `link_`
  /// To the preferred member, which has not pushed anything yet.
  LinkPtr preferred_link_;
  Address preferred_;
  Time preferred_until_;
  Time next_review_;
  std::vector<Address> members_;  ///< from the last push or farewell
  size_t next_member_ = 0;
  bool dialling_ = false;
  uint32_t failures_ = 0;  ///< attempts in a row without a message from control
  bool stopped_ = false;
  bool draining_ = false;
  uint64_t layout_version_ = 0;     ///< taken
  uint64_t confirmed_version_ = 0;  ///< in force
  StoredLayout layout_;             ///< the one that was taken
  uint64_t run_ms_ = 0;            ///< start of this process, for `RelayRecord`
  bool knows_own_record_ = false;  ///< control has sent one of this VM
  uint64_t sequence_ = 0;
  Time next_report_;
  Time next_dial_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_FLEET_CONTROL_LINK_H_
