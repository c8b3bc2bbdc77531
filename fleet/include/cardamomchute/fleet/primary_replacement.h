/// Replaces the primary of one group: queries the endpoints, demotes the old
/// primary if it can be reached, pauses replication on the replicas, promotes
/// one and waits until it is the primary. The decisions are made by the policy
/// library.
#ifndef CARDAMOMCHUTE_FLEET_PRIMARY_REPLACEMENT_H_
#define CARDAMOMCHUTE_FLEET_PRIMARY_REPLACEMENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "cardamomchute/policy/primary_replacement.h"
#include "cardamomchute/relay/command_connection.h"

namespace cardamomchute {

/// Request to the platform to promote an endpoint.
struct PromoteRequest {
  GroupId group;
  EndpointId endpoint;
  VmId holder;  ///< requesting control member
  /// Increases with each control leader and each newly chosen endpoint.
  uint64_t fence_token = 0;
  /// Another control leader may have sent a request after this time: the
  /// request is dropped unless it can be written before.
  Time send_before;
};

enum class PromoteOutcome : uint8_t {
  kAccepted,  ///< the promotion will be carried out
  kRefused,   ///< stale token, or the endpoint is not running
  kUnknown,   ///< no conclusive answer; the promotion may still happen
  kNotSent    ///< dropped: too late to send it, or no connection
};

using PromoteFunction = std::function<void(
    const PromoteRequest&, std::function<void(PromoteOutcome)>)>;

struct PrimaryReplacementParams {
  boost::asio::any_io_executor executor;
  const EndpointProtocol* protocol = nullptr;
  GroupId group;
  EndpointId primary;  ///< empty if unknown
  PrimaryReplacementCause cause = PrimaryReplacementCause::kReview;
  /// kLagging: a replica with a higher lag can serve almost no reads.
  Duration lag_bound;
  VmId holder;
  /// Returns the group's current members without those lost permanently.
  std::function<std::vector<EndpointRecord>()> members;
  std::function<uint64_t()> next_token;
  /// Whether this control leader has confirmed the primary and has sent no
  /// request to promote since.
  std::function<bool()> is_confirmed;
  /// Returns the time until which relays may use the former primary.
  std::function<Time()> leases_end;
  /// Returns the time until which an earlier control leader may send requests
  /// to promote; this one sends none before.
  std::function<Time()> first_request_at;
  /// Runs its argument once a quorum has confirmed that this VM is the leader,
  /// with the time until which no other leader sends requests.
  std::function<void(std::function<void(Time)>)> confirm_leadership;
  PromoteFunction promote;
  /// Notes that a request to promote is about to be sent.
  std::function<void()> on_request;
  /// Notes that the primary that `adopt` records is known to be the only one.
  std::function<void()> on_confirmed;
  /// Records the endpoint as primary in the given term.
  std::function<void(const EndpointId&, Term)> adopt;
  std::function<void()> done;
};

class PrimaryReplacement
    : public std::enable_shared_from_this<PrimaryReplacement> {
 public:
  explicit PrimaryReplacement(PrimaryReplacementParams params);

  void Start();
  void Stop();
  /// Takes a relay's report on the primary into account: a check for another
  /// reason may then replace it, too.
  void Suspect(PrimaryReplacementCause cause);

 private:
  using Answers = std::vector<MemberStatus>;

  void AskAll(CommandKind kind, Term term, bool lead_too,
              std::function<void(Answers)> done);
  void Ask(const EndpointRecord& endpoint, const EndpointCommand& command,
           Time until, std::function<void(MemberStatus)> done);
  void SendOn(const std::shared_ptr<CommandConnection>& connection,
              const EndpointRecord& endpoint, const EndpointCommand& command,
              Time until, std::function<void(MemberStatus)> done);
  void QueryStatus();
  void OnStatusAnswers(const Answers& answers);
  void Demote(const EndpointRecord& primary, Term term);
  void OnDemoted(const MemberStatus& answer);
  void RecordDemoted(const MemberStatus& answer);
  void Decide(const Answers& answers);
  void Keep(const Answers& answers, const MemberStatus& leader);
  void PauseAll(Term term);
  void Promote(const EndpointId& endpoint);
  void ConfirmAndCall();
  void CallPromote(Time send_before);
  void OnPromoteOutcome(PromoteOutcome outcome);
  void Poll();
  void UsePrimary(Term term, bool former_follows);
  void AdoptChosen();
  /// Runs `next` after kBusyRetryDelay, unless this was stopped.
  void RetryLater(std::function<void()> next);
  void After(Duration pause, void (PrimaryReplacement::*next)());
  void Finish();
  void FinishUnlessSuspected();
  const EndpointRecord* Find(const std::vector<EndpointRecord>& members,
                             const EndpointId& id) const;

  PrimaryReplacementParams params_;
  boost::asio::steady_timer timer_;
  std::map<EndpointId, std::shared_ptr<CommandConnection>> connections_;
  Time started_;
  bool stopped_ = false;
  bool suspected_again_ = false;  ///< a report came during the last query
  std::optional<PromoteRequest> request_;
  EndpointRecord chosen_;
  Time called_;
  FormerPrimary former_;
  MemberStatus former_status_;  ///< its answer as a replica
  bool demote_tried_ = false;
  Time demoted_at_;  ///< when it was first seen as a replica
  Term chosen_term_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_FLEET_PRIMARY_REPLACEMENT_H_
