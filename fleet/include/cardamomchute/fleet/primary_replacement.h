/// Carries out one change of a group's lead: asks the endpoints, pauses them,
/// promotes one, waits until it leads. policy/succession.h decides.
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

/// Asks whoever may name primaries to promote an endpoint.
struct PromoteRequest {
  GroupId group;
  EndpointId endpoint;
  VmId holder;               ///< who asks
  uint64_t fence_token = 0;  ///< rises with each holder and each new choice
};

enum class PromoteOutcome : uint8_t {
  kAccepted,  ///< will be carried out
  kRefused,   ///< a higher token was seen, or the endpoint does not run
  kUnknown    ///< no answer, or none that says; may still be carried out
};

using PromoteFunction = std::function<void(
    const PromoteRequest&, std::function<void(PromoteOutcome)>)>;

/// Why a group's lead is looked at.
enum class PrimaryReplacementCause : uint8_t {
  kReview,   ///< announcements contradict each other
  kTrouble,  ///< a holder of connections cannot reach the lead
  kStalled,  ///< the lead answers, and no write ends
  kLeaving,  ///< the lead is about to go
  kLagging   ///< no replica is fresh enough for reads
};

std::string_view ToString(PrimaryReplacementCause cause);

struct PrimaryReplacementParams {
  boost::asio::any_io_executor executor;
  const EndpointProtocol* protocol = nullptr;
  GroupId group;
  EndpointId lead;  ///< empty: not known
  PrimaryReplacementCause cause = PrimaryReplacementCause::kReview;
  /// kLagging: a replica that lags more serves hardly any read.
  Duration lag_bound;
  VmId holder;
  /// The endpoints that count, as they are known now.
  std::function<std::vector<EndpointRecord>()> members;
  std::function<uint64_t()> next_token;
  /// Runs its argument once a quorum has confirmed that this VM leads.
  std::function<void(std::function<void()>)> confirm;
  PromoteFunction promote;
  /// The lead is known: that endpoint, in that term.
  std::function<void(const EndpointId&, Term)> adopt;
  std::function<void()> done;
};

class PrimaryReplacement
    : public std::enable_shared_from_this<PrimaryReplacement> {
 public:
  explicit PrimaryReplacement(PrimaryReplacementParams params);

  void Start();
  void Stop();

 private:
  using Answers = std::vector<MemberStatus>;

  void AskAll(CommandKind kind, Term term, bool lead_too,
              std::function<void(Answers)> done);
  void Ask(const EndpointRecord& endpoint, const EndpointCommand& command,
           Time until, std::function<void(MemberStatus)> done);
  void SendOn(const std::shared_ptr<CommandConnection>& connection,
              const EndpointRecord& endpoint, const EndpointCommand& command,
              Time until, std::function<void(MemberStatus)> done);
  void Look();
  void OnLooked(const Answers& answers);
  void Decide(const Answers& answers);
  void Keep(const Answers& answers, const MemberStatus& leader);
  void PauseAll(Term term);
  void Promote(const EndpointId& endpoint);
  void CallPromote();
  void Poll();
  void After(Duration pause, void (PrimaryReplacement::*next)());
  void End();
  const EndpointRecord* Find(const std::vector<EndpointRecord>& members,
                             const EndpointId& id) const;

  PrimaryReplacementParams params_;
  boost::asio::steady_timer timer_;
  std::map<EndpointId, std::shared_ptr<CommandConnection>> connections_;
  Time started_;
  bool stopped_ = false;
  std::optional<PromoteRequest> order_;
  EndpointRecord chosen_;
  Time called_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_FLEET_PRIMARY_REPLACEMENT_H_
