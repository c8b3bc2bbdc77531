/// One direction of a proxied connection: reads, holds back, writes.
#ifndef CARDAMOMCHUTE_FAULTPROXY_PIPE_H_
#define CARDAMOMCHUTE_FAULTPROXY_PIPE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace cardamomchute::faultproxy {

/// Bytes a pipe holds at most; beyond that it stops reading.
inline constexpr size_t kPipeBytes = 256 * 1024;

/// How bytes travel in one direction of a route.
struct Direction {
  std::chrono::milliseconds delay{0};
  bool stopped = false;  ///< nothing passes, nothing is lost
  uint64_t bytes = 0;    ///< passed so far
};

class Pipe {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  /// All outlive the pipe. `open` tells whether bytes may pass now.
  Pipe(Socket* from, Socket* to, Direction* direction,
       std::function<bool()> open);

  /// Passes bytes on till the end of the stream, which it passes on too.
  boost::asio::awaitable<void> Run();
  /// Looks at `open` and the delay again.
  void Wake();
  /// Ends Run soon.
  void Stop();

 private:
  using Clock = std::chrono::steady_clock;

  struct Chunk {
    std::string bytes;  ///< empty: the end of the stream
    Clock::time_point read_at;
  };

  boost::asio::awaitable<void> ReadAll();
  boost::asio::awaitable<void> WriteAll();
  boost::asio::awaitable<bool> AwaitDue(const Chunk& chunk);
  boost::asio::awaitable<void> Wait(boost::asio::steady_timer* timer,
                                    Clock::time_point until);

  Socket& from_;
  Socket& to_;
  Direction& direction_;
  std::function<bool()> open_;
  boost::asio::steady_timer reader_timer_;
  boost::asio::steady_timer writer_timer_;
  std::deque<Chunk> chunks_;
  size_t held_bytes_ = 0;
  bool stopping_ = false;
  bool reader_done_ = false;
};

}  // namespace cardamomchute::faultproxy

#endif  // CARDAMOMCHUTE_FAULTPROXY_PIPE_H_
