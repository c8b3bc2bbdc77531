/// Tracks the state of a group's members from the owner's probes.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_MEMBERS_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_MEMBERS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "cardamomchute/policy/quorum/view.h"
#include "cardamomchute/policy/replacement/failover.h"
#include "cardamomchute/policy/routing/position.h"
#include "prober.h"

namespace cardamomchute {

/// A replica whose last probe answer is older than this gets no reads and
/// counts as not alive.
inline constexpr Duration kMaxAnswerAge = Millis(600);

struct Member {
  EndpointState state;
  std::shared_ptr<Prober> prober;
  /// Replayed positions over time; written positions for the primary.
  PositionHistory history;
  pgwire::MemberPosition last;
  std::optional<Time> answered;
  Time last_asked;   ///< send time of the last answered probe
  Time broken_at;    ///< when a connection to the member last broke
  Time followed_at;  ///< when it was last told to follow a primary
  /// Reports itself primary although it is not, and this was logged.
  bool stale_primary = false;
};

class Members {
 public:
  using AnswerHandler = std::function<void(const EndpointId&)>;

  Members(boost::asio::io_context& io, GroupId group, AnswerHandler on_answer);

  void SetLogin(const std::string& user, const std::string& database);
  void Update(const std::map<EndpointId, EndpointState>& members);
  /// Sets the recorded primary and clears its position history.
  void SetPrimary(const EndpointId& primary, Term term);
  void Tick(Time now);
  /// Probes all members at kFastProbeInterval until `until`, because a
  /// statement waits for their positions.
  void ProbeFastUntil(Time until);
  void ProbeNow(Time now);
  void ProbeReplicasNow(Time now);
  void Stop();

  /// Adds a primary position returned by a position query sent at `asked`.
  void AddPrimarySample(Time asked, const Floor& at);

  const Member* Find(const EndpointId& id) const;
  Member* Find(const EndpointId& id);
  void RecordBrokenConnection(const EndpointId& id, Time now);

  /// Returns whether the recorded primary has reported itself as primary of
  /// the current term.
  bool PrimaryConfirmed() const;
  /// Returns whether a replica may serve reads: it answered within
  /// kMaxAnswerAge, follows the current term and is not leaving.
  bool Usable(const Member& member, Time now) const;
  /// Returns the furthest position received by any replica of the current
  /// term; nullopt without one.
  std::optional<Position> FurthestReceived() const;
  /// Returns the first position that a recorded primary reported to this owner,
  /// which covers all that earlier owners acknowledged.
  const std::optional<Floor>& first_primary_position() const {
    return first_primary_position_;
  }
  /// Returns whether any replica answered a probe within kMaxAnswerAge.
  bool AnyReplicaAlive(Time now) const;
  std::vector<MemberHealth> Health(Time now) const;
  const std::map<EndpointId, Member>& all() const { return members_; }
  std::map<EndpointId, Member>& all() { return members_; }

 private:
  void OnAnswer(const EndpointId& id, const ProbeAnswer& answer);
  void ForgetDeparted(Time now);
  void LogStalePrimary(Member* member);
  EndpointLogin LoginFor(const EndpointState& state) const;

  boost::asio::io_context& io_;
  GroupId group_;
  AnswerHandler on_answer_;
  std::string user_;
  std::string database_;
  std::map<EndpointId, Member> members_;
  /// Members that are no longer announced, by when that was noticed; for
  /// kLostReplicaTimeout.
  std::map<EndpointId, Time> departed_;
  std::optional<Floor> first_primary_position_;
  EndpointId primary_;
  Term term_;
  Time probe_fast_until_;
  Time last_tick_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_MEMBERS_H_
