/// A framed TCP connection between two processes of the system.
///
/// A frame is a 4-byte big-endian length of type and body, a type byte, and a
/// msgpack body. An idle link sends heartbeats. A link that receives nothing
/// for `kLinkTimeout` is closed as lost, since a connection can fail silently
/// while new connections to the same host succeed.
#ifndef CARDAMOMCHUTE_PEERS_LINK_H_
#define CARDAMOMCHUTE_PEERS_LINK_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// Default timing of a link, see LinkTiming.
inline constexpr Duration kLinkHeartbeat = Millis(200);
inline constexpr Duration kLinkTimeout = Millis(1000);
inline constexpr uint32_t kMaxFrameBytes = 64 * 1024 * 1024;
/// Limit of the first frame of a link; a longer one closes the link, since it
/// cannot come from a peer of this system.
inline constexpr uint32_t kMaxHelloBytes = 4096;
/// More unsent bytes than this close the link, since the peer does not read.
inline constexpr size_t kMaxUnsentBytes = 128 * 1024 * 1024;

/// The content of a frame. All protocols between VMs share this numbering.
enum class FrameType : uint8_t {
  kHeartbeat = 0,
  kHello = 1,
  kChannel = 2,  ///< a channel message, see channel_frame.h
  kRequest = 3,  ///< a request between VMs, or its response
  kControl = 4,  ///< between a control member and its clients
  kQuorum = 5,   ///< between members of a control quorum
  kRelay = 6,    ///< statements and answers between relays
};

/// Heartbeat interval of an idle link, and the time without received bytes
/// after which the link is lost.
struct LinkTiming {
  Duration heartbeat = kLinkHeartbeat;
  Duration timeout = kLinkTimeout;
};

class Link : public std::enable_shared_from_this<Link> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using FrameHandler = std::function<void(FrameType, std::string_view)>;
  using LostHandler = std::function<void(const std::string& reason)>;

  /// Takes over a connected socket. All calls and handlers run on the socket's
  /// executor.
  explicit Link(Socket socket, LinkTiming timing = {});

  /// Starts reading. `on_lost` runs at most once, posted to the executor, so
  /// never from within Start or Send.
  void Start(FrameHandler on_frame, LostHandler on_lost);
  void Send(FrameType type, std::string body);
  /// Closes without calling `on_lost`.
  void Close();
  size_t unsent_bytes() const { return unsent_bytes_; }
  Time last_read() const { return last_read_; }
  const std::string& remote() const { return remote_; }

 private:
  void Read();
  void ParseFrames();
  void AdaptReadSize(size_t count);
  void Write();
  void Tick();
  void HandleLoss(const std::string& reason);

  Socket socket_;
  LinkTiming timing_;
  boost::asio::steady_timer timer_;
  std::string remote_;
  FrameHandler on_frame_;
  LostHandler on_lost_;
  std::string read_buffer_;
  size_t read_buffer_used_ = 0;
  size_t read_size_;
  std::string queued_;
  std::string writing_;
  size_t unsent_bytes_ = 0;
  Time last_read_;
  Time last_write_;
  bool received_frame_ = false;
  bool lost_ = false;
};

/// Connects to `address`. `done` receives the link, or null if the connection
/// failed or took longer than `timeout`.
void ConnectLink(boost::asio::any_io_executor executor, Address address,
                 Duration timeout,
                 std::function<void(std::shared_ptr<Link>)> done,
                 LinkTiming timing = {});

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_LINK_H_
