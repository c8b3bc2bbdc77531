/// A TCP proxy that plays a partition: while it holds, bytes and ends of open
/// connections wait, and new connections come to nothing.
#ifndef REVIEW_STANDIN_3_PROXY_H_
#define REVIEW_STANDIN_3_PROXY_H_

#include "harness.h"

namespace review {

class Proxy {
 public:
  Proxy(const std::string& host, const Endpoint& to)
      : to_(to), server_({host, 0}, [this](int fd) { Pump(fd); }) {}
  ~Proxy() {
    ended_ = true;
    server_.Stop();
  }
  uint16_t port() const { return server_.port(); }
  void Hold(bool hold) { held_ = hold; }

 private:
  void Pump(int near) {
    if (held_) {
      // Its opening packet was lost.
      while (held_ && !ended_) SleepMs(10);
      return;
    }
    int far = ConnectTo(to_, 1000);
    if (far < 0) return;
    bool near_open = true;
    bool far_open = true;
    while (!ended_ && (near_open || far_open)) {
      if (held_) {
        SleepMs(5);
        continue;
      }
      pollfd wait[2] = {{near_open ? near : -1, POLLIN, 0},
                        {far_open ? far : -1, POLLIN, 0}};
      if (::poll(wait, 2, 20) <= 0 || held_) continue;
      if (wait[0].revents != 0 && !Forward(near, far)) near_open = false;
      if (wait[1].revents != 0 && !Forward(far, near)) far_open = false;
    }
    ::close(far);
  }

  /// Returns false at the end of what comes, which is passed on, too.
  static bool Forward(int from, int to) {
    char buffer[65536];
    ssize_t n = ::recv(from, buffer, sizeof buffer, 0);
    if (n > 0) return SendAll(to, std::string(buffer, static_cast<size_t>(n)));
    ::shutdown(to, SHUT_WR);
    return false;
  }

  Endpoint to_;
  std::atomic<bool> held_{false};
  std::atomic<bool> ended_{false};
  Server server_;
};

}  // namespace review

#endif  // REVIEW_STANDIN_3_PROXY_H_
