#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <sstream>
#include <thread>

namespace review {
namespace {

sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in out = {};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  ::inet_pton(AF_INET, address.host.c_str(), &out.sin_addr);
  return out;
}

bool Ready(int socket, short events, int timeout_ms) {
  pollfd item = {socket, events, 0};
  return ::poll(&item, 1, timeout_ms) == 1;
}

/// Reads head and body of a request or response.
std::string ReadHttp(int socket, int timeout_ms) {
  std::string text;
  int64_t until = NowMs() + timeout_ms;
  char chunk[8192];
  size_t wanted = std::string::npos;
  while (wanted == std::string::npos || text.size() < wanted) {
    int64_t left = until - NowMs();
    if (left <= 0 || !Ready(socket, POLLIN, static_cast<int>(left))) break;
    ssize_t count = ::recv(socket, chunk, sizeof chunk, 0);
    if (count <= 0) break;
    text.append(chunk, static_cast<size_t>(count));
    size_t head = text.find("\r\n\r\n");
    if (head == std::string::npos || wanted != std::string::npos) continue;
    std::string lower = text.substr(0, head);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    size_t length = lower.find("content-length:");
    size_t body =
        length == std::string::npos ? 0 : std::stoul(lower.substr(length + 15));
    wanted = head + 4 + body;
  }
  return text;
}

}  // namespace

std::string ToString(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

int Connect(const Address& to, int timeout_ms) {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (socket < 0) return -1;
  sockaddr_in address = ToSockaddr(to);
  int failed =
      ::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
  if (failed != 0) {
    int error = 0;
    socklen_t size = sizeof error;
    bool done = errno == EINPROGRESS && Ready(socket, POLLOUT, timeout_ms) &&
                ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0;
    if (!done || error != 0) {
      ::close(socket);
      return -1;
    }
  }
  ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
  int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

int Listen(const Address& at) {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = ToSockaddr(at);
  bool open = ::bind(socket, reinterpret_cast<sockaddr*>(&address),
                     sizeof address) == 0 &&
              ::listen(socket, 512) == 0;
  if (open) return socket;
  ::close(socket);
  return -1;
}

uint16_t PortOf(int socket) {
  sockaddr_in address = {};
  socklen_t size = sizeof address;
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

bool SendAll(int socket, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t count =
        ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

void CloseSocket(int socket) {
  if (socket < 0) return;
  ::shutdown(socket, SHUT_RDWR);
  ::close(socket);
}

std::optional<std::string> LineReader::Next(int timeout_ms) {
  int64_t until = NowMs() + timeout_ms;
  timed_out_ = false;
  char chunk[4096];
  while (true) {
    size_t end = buffer_.find("\r\n");
    if (end != std::string::npos) {
      std::string line = buffer_.substr(0, end);
      buffer_.erase(0, end + 2);
      return line;
    }
    int64_t left = until - NowMs();
    if (left <= 0 || !Ready(socket_, POLLIN, static_cast<int>(left))) {
      timed_out_ = true;
      return std::nullopt;
    }
    ssize_t count = ::recv(socket_, chunk, sizeof chunk, 0);
    if (count <= 0) return std::nullopt;
    buffer_.append(chunk, static_cast<size_t>(count));
  }
}

HttpReply Http(const Address& server, const std::string& method,
               const std::string& path, const std::string& body,
               int timeout_ms) {
  HttpReply reply;
  int socket = Connect(server, timeout_ms);
  if (socket < 0) return reply;
  std::string request = method + " " + path +
                        " HTTP/1.1\r\nHost: " + ToString(server) +
                        "\r\nContent-Type: application/json\r\n"
                        "Connection: close\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body;
  if (SendAll(socket, request)) {
    std::string text = ReadHttp(socket, timeout_ms);
    size_t head = text.find("\r\n\r\n");
    if (head != std::string::npos && text.starts_with("HTTP/1.1 ")) {
      reply.status = std::stoi(text.substr(9, 3));
      reply.body = text.substr(head + 4);
      size_t location = text.find("Location: ");
      if (location < head) {
        size_t begin = location + 10;
        reply.location = text.substr(begin, text.find("\r\n", begin) - begin);
      }
    }
  }
  CloseSocket(socket);
  return reply;
}

void ServeHttp(
    int socket,
    const std::function<int(const std::string& path,
                            const std::map<std::string, std::string>& headers,
                            const std::string& body)>& handle) {
  std::string text = ReadHttp(socket, 2000);
  size_t head = text.find("\r\n\r\n");
  if (head != std::string::npos) {
    std::istringstream lines(text.substr(0, head));
    std::string method, path, rest, line;
    lines >> method >> path;
    std::getline(lines, rest);
    std::map<std::string, std::string> headers;
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      size_t colon = line.find(": ");
      if (colon != std::string::npos)
        headers[line.substr(0, colon)] = line.substr(colon + 2);
    }
    int status = handle(path, headers, text.substr(head + 4));
    if (status > 0) {
      SendAll(socket, "HTTP/1.1 " + std::to_string(status) +
                          " X\r\nContent-Type: application/json\r\n"
                          "Connection: close\r\nContent-Length: 2\r\n\r\n{}");
    }
  }
  CloseSocket(socket);
}

std::string JsonText(const std::string& body, const std::string& key) {
  size_t at = body.find("\"" + key + "\"");
  if (at == std::string::npos) return "";
  size_t begin = body.find('"', body.find(':', at));
  size_t end = body.find('"', begin + 1);
  return body.substr(begin + 1, end - begin - 1);
}

}  // namespace review
