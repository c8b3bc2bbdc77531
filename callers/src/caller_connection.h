/// One caller's TCP connection: startup, reading, writing, closing. While it
/// idles it holds no buffers.
#ifndef CARDAMOMCHUTE_CALLERS_SRC_CALLER_CONNECTION_H_
#define CARDAMOMCHUTE_CALLERS_SRC_CALLER_CONNECTION_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "caller_session.h"
#include "cancel_registry.h"
#include "cardamomchute/base/error.h"
#include "cardamomchute/telemetry/metrics.h"

namespace cardamomchute {

class CallerConnection;

/// What all connections of the server share. Any thread.
struct ServerState {
  explicit ServerState(Metrics* metrics)
      : counts(metrics),
        callers_gauge(metrics == nullptr ? nullptr
                                         : &metrics->GetGauge("callers")) {}

  CancelRegistry<std::weak_ptr<CallerConnection>> cancels;
  StatementCounts counts;
  Gauge* callers_gauge;
  std::atomic<size_t> admitted{0};  ///< callers past their startup
  std::atomic<size_t> sockets{0};   ///< all connections
  std::atomic<size_t> input{0};     ///< bytes of input that wait, of all
  std::atomic<bool> draining{false};
};

/// What all connections of one thread share.
struct ThreadState {
  boost::asio::io_context* io = nullptr;
  SessionParams session;
  std::shared_ptr<ServerState> server;
  std::unordered_set<std::shared_ptr<CallerConnection>> connections;
  std::vector<char> read_buffer;  ///< one for all: filled and used at once
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<ThreadState> thread);
  ~CallerConnection();

  /// Serves the caller; on the connection's thread, like all below.
  void Start();
  void Cancel();
  /// Tells the caller to leave once it is idle.
  void Leave();
  /// Closes without waiting for anything.
  void Cut();

 private:
  enum class Phase { kStartup, kServing, kFinishing, kClosed };

  void WaitToRead();
  void OnReadable();
  void Take(std::string_view bytes);
  /// Uses up what it can of `bytes`; the number of bytes used.
  size_t Use(std::string_view bytes);
  size_t UseStartup(std::string_view bytes);
  void OnStartupPacket(const pgwire::StartupPacket& packet);
  void OnCancelRequest(const pgwire::StartupPacket& packet);
  void Admit(AdmittedCaller admitted);
  void RefuseStartup(const pgwire::Report& report);
  void OnBrokenProtocol(const Error& error);
  void CountInput();

  void Write(std::string_view bytes);
  void WriteSoon();
  void WriteNow();
  void Finish();
  void FinishIfWritten();
  void RunAfter(Duration delay, std::function<void()> action);

  std::shared_ptr<ThreadState> thread_;
  boost::asio::ip::tcp::socket socket_;
  std::shared_ptr<CallerSession> session_;
  std::unique_ptr<boost::asio::steady_timer> timer_;
  std::string in_;   ///< an unfinished message, and what may not be used yet
  std::string out_;  ///< not yet written
  size_t out_at_ = 0;
  size_t counted_input_ = 0;
  CancelKey cancel_key_;
  Phase phase_ = Phase::kStartup;
  uint8_t negotiations_ = 0;
  bool admitted_ = false;
  bool waiting_to_read_ = false;
  bool waiting_to_write_ = false;
  bool write_posted_ = false;
  bool using_ = false;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_CALLERS_SRC_CALLER_CONNECTION_H_
