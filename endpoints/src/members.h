/// The members of one group as their owner's probes see them.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_MEMBERS_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_MEMBERS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "cardamomchute/policy/failover.h"
#include "cardamomchute/policy/position.h"
#include "cardamomchute/policy/view.h"
#include "prober.h"

namespace cardamomchute {

/// A member that has not answered for longer gets no reads.
inline constexpr Duration kMaxAnswerAge = Millis(600);

struct Member {
  EndpointState state;
  std::shared_ptr<Prober> prober;
  /// What it replayed; of the primary, what it had written.
  PositionHistory history;
  pgwire::MemberPosition last;
  std::optional<Time> answered;
  Time last_asked;             ///< when the last answer was asked for
  Time broken_at;              ///< when a connection to it last broke
  Time followed_at;            ///< when it was last pointed at a primary
  bool stale_primary = false;  ///< a primary of an earlier term, and warned of
};

class Members {
 public:
  using AnswerHandler = std::function<void(const EndpointId&)>;

  Members(boost::asio::io_context& io, GroupId group, AnswerHandler on_answer);

  void SetLogin(const std::string& user, const std::string& database);
  void Update(const std::map<EndpointId, EndpointState>& members);
  /// The primary on record; its samples begin anew.
  void SetPrimary(const EndpointId& primary, Term term);
  void Tick(Time now);
  /// Probes quickly until `until`, because something waits for positions.
  void ProbeFastUntil(Time until);
  void ProbeNow(Time now);
  void ProbeReplicasNow(Time now);
  void Stop();

  /// A position of the primary learned with a write sent at `asked`.
  void AddPrimarySample(Time asked, const Floor& at);

  const Member* Find(const EndpointId& id) const;
  Member* Find(const EndpointId& id);
  void RecordBrokenConnection(const EndpointId& id, Time now);

  /// Whether the primary on record has said itself that it reigns.
  bool PrimaryConfirmed() const;
  bool Usable(const Member& member, Time now) const;
  /// The furthest position that a replica of the term in force received.
  std::optional<Position> FurthestReceived() const;
  bool AnyReplicaAlive(Time now) const;
  std::vector<MemberHealth> Health(Time now) const;
  const std::map<EndpointId, Member>& all() const { return members_; }
  std::map<EndpointId, Member>& all() { return members_; }

 private:
  void OnAnswer(const EndpointId& id, const ProbeAnswer& answer);
  void LogStalePrimary(Member* member);
  EndpointLogin LoginFor(const EndpointState& state) const;

  boost::asio::io_context& io_;
  GroupId group_;
  AnswerHandler on_answer_;
  std::string user_;
  std::string database_;
  std::map<EndpointId, Member> members_;
  EndpointId primary_;
  Term term_;
  Time probe_fast_until_;
  Time last_tick_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_MEMBERS_H_
