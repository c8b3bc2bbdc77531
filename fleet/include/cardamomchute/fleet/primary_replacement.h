/// Replaces the primary of one group: performs the steps that the policy
/// library decides (policy/replacement_steps.h), by commands to the group's
/// endpoints and orders to the platform.
#ifndef CARDAMOMCHUTE_FLEET_PRIMARY_REPLACEMENT_H_
#define CARDAMOMCHUTE_FLEET_PRIMARY_REPLACEMENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "cardamomchute/policy/replacement/replacement_steps.h"
#include "cardamomchute/relay/command_connection.h"

namespace cardamomchute {

/// Request to the platform to promote an endpoint.
struct PromoteRequest {
  GroupId group;
  EndpointId endpoint;
  VmId holder;  ///< requesting control member
  uint64_t fence_token = 0;
  /// Another control leader may have sent a request after this time: the
  /// request is dropped unless it can be written before.
  Time send_before;
};

using PromoteFunction = std::function<void(
    const PromoteRequest&, std::function<void(PromoteOutcome)>)>;

struct PrimaryReplacementParams {
  boost::asio::any_io_executor executor;
  const EndpointProtocol* protocol = nullptr;
  GroupId group;
  VmId holder;
  /// What is known at the start, see the first part of Replacement.
  Replacement run;
  /// Returns the group's current members without those lost permanently.
  std::function<std::vector<EndpointRecord>()> members;
  /// Notes that the recorded primary is no longer known to be the only one, and
  /// runs its argument once no relay has a lease on it.
  std::function<void(std::function<void()>)> end_leases;
  /// Records the group's orders in the quorum's log, and runs its argument once
  /// a quorum has them, with the time until which no other leader sends orders.
  std::function<void(const PromotionOrders&, std::function<void(Time)>)>
      record_orders;
  PromoteFunction promote;
  /// Notes that the recorded primary is about to be replaced.
  std::function<void()> on_unconfirmed;
  /// Notes that the primary that `adopt` records is known to be the only one.
  std::function<void()> on_confirmed;
  /// Records the endpoint as primary in the given term.
  std::function<void(const EndpointId&, Term)> adopt;
  /// Gets what is known of the group's copies, for the next run.
  std::function<void(const GroupCopies&)> done;
};

class PrimaryReplacement
    : public std::enable_shared_from_this<PrimaryReplacement> {
 public:
  explicit PrimaryReplacement(PrimaryReplacementParams params);

  void Start();
  void Stop();
  /// Takes a relay's report on the primary into account.
  void Suspect(PrimaryReplacementCause cause);

 private:
  using Answers = std::vector<MemberStatus>;

  /// Asks all endpoints but `except`.
  void AskAll(CommandKind kind, Term term, const EndpointId& except,
              std::function<void(Answers)> done);
  /// Asks one endpoint; `done` gets an empty answer if it is not a member.
  void AskOne(const EndpointId& endpoint, const EndpointCommand& command,
              Duration timeout, std::function<void(MemberStatus)> done);
  void Ask(const EndpointRecord& endpoint, const EndpointCommand& command,
           Time until, std::function<void(MemberStatus)> done);
  void SendOn(const std::shared_ptr<CommandConnection>& connection,
              const EndpointRecord& endpoint, const EndpointCommand& command,
              Time until, std::function<void(MemberStatus)> done);
  void Perform(const ReplacementActions& actions);
  void Perform(const ReplacementAction& action);
  void AskStatus();
  void Demote(const EndpointId& endpoint, Term term);
  void EndLeases();
  void Pause(const EndpointId& except, Term term);
  void SendOrder(const PromotionOrder& order);
  void CallPromote(const PromotionOrder& order, Time send_before);
  void Poll(const EndpointId& endpoint);
  void Tell(const EndpointId& endpoint, CommandKind kind, Term term);
  void Wait(Duration delay);
  void ForgetOrders();
  void Finish();
  /// Runs `next` after kBusyRetryDelay, unless this was stopped.
  void RetryLater(std::function<void()> next);
  const EndpointRecord* Find(const std::vector<EndpointRecord>& members,
                             const EndpointId& id) const;

  PrimaryReplacementParams params_;
  Replacement run_;
  boost::asio::steady_timer timer_;
  std::map<EndpointId, std::shared_ptr<CommandConnection>> connections_;
  bool stopped_ = false;
  PromotionOrders recorded_orders_;  ///< in the quorum's log
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_FLEET_PRIMARY_REPLACEMENT_H_
