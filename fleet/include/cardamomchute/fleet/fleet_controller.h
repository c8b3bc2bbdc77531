/// A control member of a fleet of relays: keeps the accepted layout in the
/// quorum's log, gathers announcements, tells relays, and replaces leads.
///
/// Lives on the control thread. Every member takes announcements and serves
/// relays; only the leader accepts layouts and replaces leads.
#ifndef CARDAMOMCHUTE_FLEET_FLEET_CONTROLLER_H_
#define CARDAMOMCHUTE_FLEET_FLEET_CONTROLLER_H_

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cardamomchute/fleet/messages.h"
#include "cardamomchute/fleet/primary_replacement.h"
#include "cardamomchute/peers/leadership_barrier.h"
#include "cardamomchute/peers/quorum_host.h"
#include "cardamomchute/policy/layout.h"

namespace cardamomchute {

struct FleetControllerParams {
  boost::asio::io_context* io = nullptr;
  VmId name;       ///< as orders and logs have it
  Address listen;  ///< where relays and other members connect
  std::filesystem::path data_folder;
  std::vector<Address> seeds;
  bool may_bootstrap = false;
  std::function<Result<Layout>(std::string_view)> parse_layout;
  EndpointProtocol endpoint_protocol;
  PromoteFunction promote;
  std::function<void(Error)> on_failure;
};

enum class CallOutcome : uint8_t {
  kDone,
  kInvalid,      ///< the input breaks a rule
  kOtherLeader,  ///< another member leads: `leader`
  kUnavailable,  ///< nobody can be sure now
};

struct LayoutResult {
  CallOutcome outcome = CallOutcome::kUnavailable;
  std::string text;    ///< the layout, or what is wrong with it
  std::string leader;  ///< host of the member that leads
};

using LayoutDone = std::function<void(LayoutResult)>;

class FleetController {
 public:
  explicit FleetController(FleetControllerParams params);
  ~FleetController();

  Status Start();
  void Stop();
  void SetSeeds(const std::vector<Address>& seeds);

  /// Accepted means synced by a quorum. The highest version is in force.
  void PutLayout(std::string text, LayoutDone done);
  void GetLayout(LayoutDone done);
  /// Whether the announcement will reach those that route.
  bool Announce(const EndpointRecord& record);
  /// The endpoint has left for good.
  bool Leave(const EndpointId& endpoint);
  bool leading() const { return host_ && host_->leading(); }
  bool has_leader_contact() const {
    return host_ && host_->HasLeaderContact(Now());
  }
  uint64_t layout_version() const { return layout_.version; }

 private:
  using LinkPtr = std::shared_ptr<Link>;
  struct PendingPut {
    QuorumTerm term;
    LayoutDone done;
  };
  struct WaitingRelay {
    LinkPtr link;
    RelayReport report;
    Time until;
  };

  QuorumHooks Hooks();
  void Apply(const LogEntry& entry);
  void Restore(const std::string& bytes);
  void OnReign(bool leads);
  void OnTick(Time now);
  void OnFrame(const LinkPtr& link, std::string_view body);
  void OnRelayReport(const LinkPtr& link, const RelayReport& report);
  void OnTrouble(const TroubleReport& report);
  void OnLagging(const TroubleReport& report);
  void ServeWaiting(Time now, bool has_leader_contact);
  void TakeDelta(const DirectoryDelta& delta, bool from_member);
  void SendWhole(const LinkPtr& link, uint64_t known_version);
  void Flush();
  void SendFarewells();
  void LoadDirectory();
  void SaveDirectory(Time now);
  DirectoryPush BarePush() const;
  LayoutResult Elsewhere() const;

  void ReviewLeads(Time now);
  void ReviewLead(const GroupId& group, Time now);
  void SetLead(const GroupId& group, const EndpointId& endpoint, Term term);
  void StartSuccession(const GroupId& group, PrimaryReplacementCause cause);
  std::vector<EndpointRecord> CountedMembers(const GroupId& group) const;
  std::set<GroupId> Groups() const;

  FleetControllerParams params_;
  std::shared_ptr<QuorumHost> host_;
  LeadershipBarrier rounds_;
  StoredLayout layout_;
  std::optional<Layout> parsed_;
  bool layout_due_ = false;  ///< relays have not been told of it
  Directory directory_;
  std::map<LogIndex, PendingPut> pending_;
  std::map<Link*, LinkPtr> relays_;
  std::map<Link*, WaitingRelay> waiting_;
  DirectoryDelta to_relays_;
  DirectoryDelta to_members_;
  std::map<GroupId, std::shared_ptr<PrimaryReplacement>> successions_;
  std::map<GroupId, Time> next_review_;
  std::map<GroupId, Time> lead_set_;
  std::map<GroupId, Time> next_lag_look_;
  Time next_cache_;
  bool cache_due_ = false;
  uint64_t changes_ = 0;  ///< of leads in this reign
  uint64_t tokens_ = 0;   ///< given out in this reign
  Time next_flush_;
  bool out_of_touch_ = false;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_FLEET_FLEET_CONTROLLER_H_
