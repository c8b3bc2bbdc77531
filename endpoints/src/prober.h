/// Probes one member again and again on a connection of its own, and on a
/// second, fresh one when the first falls silent.
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

inline constexpr Duration kFastProbeInterval = Millis(25);
inline constexpr Duration kPrimaryProbeInterval = Millis(100);
inline constexpr Duration kIdleProbeInterval = Millis(250);
/// Probes asked for at once keep this distance.
inline constexpr Duration kMinProbeSpacing = Millis(2);
/// A probe unanswered for this long makes the prober try a new connection.
inline constexpr Duration kProbeSilenceTimeout = Millis(250);
/// Refused connections in a row before nobody seems to serve there.
inline constexpr int kMinConsecutiveRefusals = 2;
/// The new connection gets this long before the member counts as silent.
inline constexpr Duration kSecondConnectionTimeout = Millis(300);

/// A member's own word, asked for at `asked`.
struct ProbeAnswer {
  pgwire::MemberPosition position;
  Time asked;
};

class Prober : public std::enable_shared_from_this<Prober> {
 public:
  using AnswerHandler = std::function<void(const ProbeAnswer&)>;

  Prober(boost::asio::io_context& io, EndpointLogin login,
         AnswerHandler on_answer);

  /// Drives the prober; call every few milliseconds.
  void Tick(Time now);
  /// Time between probes from now on.
  void SetInterval(Duration interval) { interval_ = interval; }
  /// Probes at once, unless a probe is under way or was a moment ago.
  void ProbeNow(Time now);
  /// Silence before `now` was this VM's own.
  void RestartSilence(Time now);
  void Stop();

  /// Since when probes go unanswered, once two connections tried.
  std::optional<Time> SilentSince(Time now) const;
  /// New connections were refused or reset, one after the other.
  bool refused() const { return refusals_ >= kMinConsecutiveRefusals; }

 private:
  /// One of the two connections.
  struct ProbeConnection {
    std::shared_ptr<EndpointConnection> connection;
    std::optional<Time> asked;  ///< connecting or probing since
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
  Time last_asked_;
  Time retry_at_;
  std::optional<Time> unanswered_since_;
  std::optional<Time> second_since_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_PROBER_H_
