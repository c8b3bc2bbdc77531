/// Probes one member periodically on a dedicated connection, and on a second,
/// new connection when the first one stops answering.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_PROBER_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_PROBER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "cardamomchute/base/time.h"
#include "cardamomchute/pgwire/group_sql.h"
#include "endpoint_connection.h"

namespace cardamomchute {

/// Probe intervals: while a statement waits for positions, of the primary,
/// and of replicas.
inline constexpr Duration kFastProbeInterval = Millis(25);
inline constexpr Duration kPrimaryProbeInterval = Millis(100);
inline constexpr Duration kIdleProbeInterval = Millis(250);
/// Minimum time between two probes sent on request (see Prober::ProbeNow).
inline constexpr Duration kMinProbeSpacing = Millis(2);
/// A probe unanswered for this long makes the prober open a second connection.
inline constexpr Duration kProbeSilenceTimeout = Millis(250);
/// Consecutive refused connection attempts after which the member counts as
/// refused, that is, no server listens there.
inline constexpr int kMinConsecutiveRefusals = 2;
/// Time the second connection gets to answer before the member counts as
/// silent.
inline constexpr Duration kSecondConnectionTimeout = Millis(300);

/// Position a member reported in answer to a probe sent at `asked`.
struct ProbeAnswer {
  pgwire::MemberPosition position;
  Time asked;
};

class Prober : public std::enable_shared_from_this<Prober> {
 public:
  using AnswerHandler = std::function<void(const ProbeAnswer&)>;

  Prober(boost::asio::io_context& io, EndpointLogin login,
         AnswerHandler on_answer);

  /// Sends due probes and opens connections. Call every few milliseconds.
  void Tick(Time now);
  /// Sets the time between probes.
  void SetInterval(Duration interval) { interval_ = interval; }
  /// Sends a probe unless one is in flight or the last one was sent less than
  /// kMinProbeSpacing ago.
  void ProbeNow(Time now);
  /// Restarts the measurement of the member's silence at `now`, because this
  /// VM was stalled until then.
  void RestartSilence(Time now);
  void Stop();

  /// Returns the start of the member's silence once the second connection has
  /// gone unanswered for kSecondConnectionTimeout too; nullopt otherwise.
  std::optional<Time> SilentSince(Time now) const;
  /// Returns whether the last kMinConsecutiveRefusals connection attempts were
  /// refused or reset.
  bool refused() const { return refusals_ >= kMinConsecutiveRefusals; }

 private:
  struct ProbeConnection {
    std::shared_ptr<EndpointConnection> connection;
    std::optional<Time> pending_since;  ///< start of the pending login or probe
  };

  void TickConnection(ProbeConnection* probe, Time now);
  void Open(ProbeConnection* probe, Time now);
  void SendProbe(ProbeConnection* probe, Time now);
  void Answered(ProbeConnection* probe, const ExchangeEnd& end, Time asked);
  void Lost(ProbeConnection* probe, bool opening, bool refused);
  void CloseConnection(ProbeConnection* probe);

  boost::asio::io_context& io_;
  EndpointLogin login_;
  AnswerHandler on_answer_;
  Duration interval_ = kFastProbeInterval;
  bool stopped_ = false;
  int refusals_ = 0;
  ProbeConnection first_;
  ProbeConnection second_;
  Time last_asked_;  ///< when the last probe was sent
  Time retry_at_;
  std::optional<Time> unanswered_since_;
  std::optional<Time> second_since_;  ///< when the second connection was needed
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_PROBER_H_
