/// A framed TCP connection between two of the system's processes.
///
/// A frame is a 4-byte big-endian length, a type byte, and a msgpack body.
/// Heartbeats go out while nothing else does; a link that stays silent for
/// `kLinkTimeout` counts as lost, since a connection may go silent for good
/// while new ones work.
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

inline constexpr Duration kLinkHeartbeat = Millis(200);
inline constexpr Duration kLinkTimeout = Millis(1000);
inline constexpr uint32_t kMaxFrameBytes = 64 * 1024 * 1024;
/// A first frame longer than this closes the link: no peer sends one.
inline constexpr uint32_t kMaxHelloBytes = 4096;
/// Unsent bytes beyond this close the link: the other end no longer reads.
inline constexpr size_t kMaxUnsentBytes = 128 * 1024 * 1024;

/// What a frame carries. One numbering for all protocols between VMs.
enum class FrameType : uint8_t {
  kHeartbeat = 0,
  kHello = 1,
  kChannel = 2,  ///< ChannelEnvelope, see channel_mesh.h
  kRequest = 3,
  kControl = 4,  ///< between a control member and its clients
  kQuorum = 5,   ///< between members of a control quorum
  kRelay = 6,    ///< statements and answers between relays
};

/// How often a link shows that it is alive, and when the other end is lost.
struct LinkTiming {
  Duration heartbeat = kLinkHeartbeat;
  Duration timeout = kLinkTimeout;
};

class Link : public std::enable_shared_from_this<Link> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using FrameHandler = std::function<void(FrameType, std::string_view)>;
  using LostHandler = std::function<void(const std::string& reason)>;

  /// Takes over a connected socket; all calls and handlers on its executor.
  explicit Link(Socket socket, LinkTiming timing = {});

  /// Begins to read. `on_lost` runs once, never within Start or Send.
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

/// Connects to `address` within `timeout`; the link is null on failure.
void ConnectLink(boost::asio::any_io_executor executor, Address address,
                 Duration timeout,
                 std::function<void(std::shared_ptr<Link>)> done,
                 LinkTiming timing = {});

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_LINK_H_
