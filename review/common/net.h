/// Blocking sockets on loopback addresses, and an HTTP call.
#ifndef CARDAMOMCHUTE_REVIEW_COMMON_NET_H_
#define CARDAMOMCHUTE_REVIEW_COMMON_NET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace review {

struct Address {
  std::string host;
  uint16_t port = 0;
};

std::string ToString(const Address& address);

/// Milliseconds on the steady clock.
int64_t NowMs();
/// Milliseconds of the time of day.
int64_t WallMs();
void SleepMs(int64_t ms);

/// Returns a connected socket, or -1.
int Connect(const Address& to, int timeout_ms);
/// Returns a listening socket, or -1.
int Listen(const Address& at);
/// Returns the port that a listening socket has.
uint16_t PortOf(int socket);
/// Sends all bytes; false if the connection is gone.
bool SendAll(int socket, const std::string& bytes);
void CloseSocket(int socket);

/// Reads lines that end with CR LF, as the users' page says. A line feed
/// without a carriage return belongs to the line.
class LineReader {
 public:
  explicit LineReader(int socket) : socket_(socket) {}
  /// Returns the next line without its end, or nullopt once the connection is
  /// gone or `timeout_ms` has passed without a whole line.
  std::optional<std::string> Next(int timeout_ms);
  bool timed_out() const { return timed_out_; }

 private:
  int socket_;
  std::string buffer_;
  bool timed_out_ = false;
};

struct HttpReply {
  int status = 0;  ///< 0: no answer
  std::string body;
  std::string location;
};

HttpReply Http(const Address& server, const std::string& method,
               const std::string& path, const std::string& body,
               int timeout_ms = 1000);

/// Serves one HTTP request on an accepted socket and closes it.
void ServeHttp(
    int socket,
    const std::function<int(const std::string& path,
                            const std::map<std::string, std::string>& headers,
                            const std::string& body)>& handle);

/// The text of a string field of a flat JSON object, or "".
std::string JsonText(const std::string& body, const std::string& key);

}  // namespace review

#endif  // CARDAMOMCHUTE_REVIEW_COMMON_NET_H_
