/// Stand-ins of the third review: a database group, the platform's promote
/// call, the operator and clients, all in the test's own process; stewards and
/// relays are real processes. One global lock for the group; a thread a
/// connection.
#ifndef REVIEW_STANDIN_3_HARNESS_H_
#define REVIEW_STANDIN_3_HARNESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Lock = std::unique_lock<std::mutex>;

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

inline std::string Text(const char* format, ...)
    __attribute__((format(printf, 1, 2)));
inline std::string Text(const char* format, ...) {
  char buffer[4096];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(buffer, sizeof buffer, format, arguments);
  va_end(arguments);
  return buffer;
}

inline uint64_t WallMs() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/// Seconds since the first call.
inline double NowS() {
  static const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

inline void SleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// ---- the record ------------------------------------------------------------

class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_.open(path, std::ios::trunc); }
  void Line(const std::string& text) {
    Lock lock(mutex_);
    if (!file_.is_open()) return;
    file_ << Text("%8.3f ", NowS()) << text << "\n";
    file_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline void Note(const std::string& text) { Record::Get().Line(text); }

// ---- sockets ---------------------------------------------------------------

struct Endpoint {
  std::string host;
  uint16_t port = 0;
  std::string ToString() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in SockAddr(const Endpoint& at) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(at.port);
  inet_pton(AF_INET, at.host.c_str(), &address.sin_addr);
  return address;
}

inline int ListenOn(const Endpoint& at) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = SockAddr(at);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 256) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline uint16_t PortOf(int fd) {
  sockaddr_in address = {};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// A port that is free on every one of the hosts.
inline uint16_t FreePort(const std::vector<std::string>& hosts) {
  for (int attempt = 0; attempt < 100; ++attempt) {
    int first = ListenOn({hosts.front(), 0});
    uint16_t port = PortOf(first);
    ::close(first);
    bool free = true;
    for (const std::string& host : hosts) {
      int fd = ListenOn({host, port});
      if (fd < 0) free = false;
      if (fd >= 0) ::close(fd);
    }
    if (free) return port;
  }
  return 0;
}

inline int ConnectTo(const Endpoint& at, int timeout_ms) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address = SockAddr(at);
  int done =
      ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  if (done != 0) {
    pollfd wait = {fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    bool ready = errno == EINPROGRESS && ::poll(&wait, 1, timeout_ms) == 1 &&
                 ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
                 error == 0;
    if (!ready) {
      ::close(fd);
      return -1;
    }
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t n =
        ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

/// Reads lines that end with CR LF.
class LineReader {
 public:
  enum class Got { kLine, kTimeout, kEnd };
  Got Next(int fd, std::string* line, int timeout_ms) {
    double limit = NowS() + timeout_ms / 1000.0;
    while (true) {
      size_t end = in_.find("\r\n");
      if (end != std::string::npos) {
        *line = in_.substr(0, end);
        in_.erase(0, end + 2);
        return Got::kLine;
      }
      int left = timeout_ms < 0
                     ? -1
                     : std::max(0, static_cast<int>((limit - NowS()) * 1000));
      pollfd wait = {fd, POLLIN, 0};
      int ready = ::poll(&wait, 1, left);
      if (ready == 0) return Got::kTimeout;
      if (ready < 0) return Got::kEnd;
      char buffer[65536];
      ssize_t n = ::recv(fd, buffer, sizeof buffer, 0);
      if (n <= 0) return Got::kEnd;
      in_.append(buffer, static_cast<size_t>(n));
    }
  }
  /// Takes what has been read beyond the last line.
  std::string TakeRest() { return std::exchange(in_, std::string()); }
  void PutBack(const std::string& bytes) { in_ = bytes + in_; }

 private:
  std::string in_;
};

// ---- HTTP ------------------------------------------------------------------

struct HttpAnswer {
  int status = 0;  ///< 0: none
  std::string body;
  std::string location;
};

inline std::string HttpText(const std::string& method, const std::string& path,
                            const Endpoint& to, const std::string& body) {
  return method + " " + path + " HTTP/1.1\r\nHost: " + to.ToString() +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline HttpAnswer ReadHttpAnswer(int fd, int timeout_ms) {
  HttpAnswer answer;
  LineReader reader;
  double limit = NowS() + timeout_ms / 1000.0;
  std::string line;
  size_t length = 0;
  int status = 0;
  for (bool first = true;; first = false) {
    int left = std::max(0, static_cast<int>((limit - NowS()) * 1000));
    if (reader.Next(fd, &line, left) != LineReader::Got::kLine) return answer;
    if (first) {
      status = std::atoi(line.substr(std::min<size_t>(9, line.size())).c_str());
      continue;
    }
    if (line.empty()) break;
    std::string lower = line;
    std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
    if (lower.starts_with("content-length:"))
      length = std::strtoull(line.c_str() + 15, nullptr, 10);
    if (lower.starts_with("location:")) {
      size_t at = line.find_first_not_of(' ', 9);
      if (at != std::string::npos) answer.location = line.substr(at);
    }
  }
  answer.body = reader.TakeRest();
  while (answer.body.size() < length) {
    int left = std::max(0, static_cast<int>((limit - NowS()) * 1000));
    pollfd wait = {fd, POLLIN, 0};
    if (::poll(&wait, 1, left) != 1) return answer;
    char buffer[65536];
    ssize_t n = ::recv(fd, buffer, sizeof buffer, 0);
    if (n <= 0) return answer;
    answer.body.append(buffer, static_cast<size_t>(n));
  }
  answer.status = status;
  return answer;
}

inline HttpAnswer HttpCall(const Endpoint& to, const std::string& method,
                           const std::string& path, const std::string& body,
                           int timeout_ms) {
  int fd = ConnectTo(to, timeout_ms);
  if (fd < 0) return {};
  HttpAnswer answer;
  if (SendAll(fd, HttpText(method, path, to, body)))
    answer = ReadHttpAnswer(fd, timeout_ms);
  ::close(fd);
  return answer;
}

/// Follows a 307 twice, as callers of control do.
inline HttpAnswer ControlCall(Endpoint to, const std::string& method,
                              std::string path, const std::string& body,
                              int timeout_ms) {
  HttpAnswer answer;
  for (int hop = 0; hop < 3; ++hop) {
    answer = HttpCall(to, method, path, body, timeout_ms);
    if (answer.status != 307) return answer;
    std::string at = answer.location.substr(std::strlen("http://"));
    size_t slash = at.find('/');
    size_t colon = at.find(':');
    to = {
        at.substr(0, colon),
        static_cast<uint16_t>(std::atoi(at.substr(colon + 1, slash).c_str()))};
    path = at.substr(slash);
  }
  return answer;
}

/// Accepts connections, each served by a thread of its own, until it ends.
class Server {
 public:
  Server(const Endpoint& at, std::function<void(int)> serve)
      : serve_(std::move(serve)), fd_(ListenOn(at)) {
    thread_ = std::thread([this] { Accept(); });
  }
  ~Server() { Stop(); }
  bool ok() const { return fd_ >= 0; }
  uint16_t port() const { return PortOf(fd_); }
  /// Ends all connections, and waits for those who serve them.
  void Stop() {
    if (stopped_.exchange(true)) return;
    thread_.join();
    if (fd_ >= 0) ::close(fd_);
    {
      Lock lock(mutex_);
      for (int fd : open_) ::shutdown(fd, SHUT_RDWR);
    }
    for (std::thread& thread : serving_) thread.join();
  }

 private:
  void Accept() {
    while (!stopped_) {
      pollfd wait = {fd_, POLLIN, 0};
      if (::poll(&wait, 1, 20) != 1) continue;
      int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      Lock lock(mutex_);
      open_.insert(fd);
      serving_.emplace_back([this, fd] {
        serve_(fd);
        Lock inner(mutex_);
        open_.erase(fd);
        ::close(fd);
      });
    }
  }

  std::function<void(int)> serve_;
  int fd_;
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> serving_;
  std::thread thread_;
};

// ---- processes -------------------------------------------------------------

class Process {
 public:
  Process(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& log) {
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, STDOUT_FILENO);
    ::dup2(fd, STDERR_FILENO);
    std::vector<char*> argv = {const_cast<char*>(program.c_str())};
    for (const std::string& argument : arguments)
      argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    ::execv(program.c_str(), argv.data());
    ::_exit(127);
  }
  ~Process() {
    Signal(SIGCONT);
    Signal(SIGKILL);
    Wait();
  }
  void Signal(int signal) {
    if (pid_ > 0 && !ended_) ::kill(pid_, signal);
  }
  /// Returns the exit status once the process has ended.
  int Wait() {
    if (!ended_) {
      ::waitpid(pid_, &status_, 0);
      ended_ = true;
    }
    return status_;
  }
  bool Running() {
    if (!ended_ && ::waitpid(pid_, &status_, WNOHANG) == pid_) ended_ = true;
    return !ended_;
  }
  pid_t pid() const { return pid_; }
  size_t ResidentBytes() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    size_t all = 0;
    size_t resident = 0;
    file >> all >> resident;
    return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
  }

 private:
  pid_t pid_ = -1;
  bool ended_ = false;
  int status_ = 0;
};

// ---- the database group ----------------------------------------------------

struct Position {
  uint64_t term = 0;
  uint64_t number = 0;
  friend auto operator<=>(const Position&, const Position&) = default;
  std::string ToString() const {
    return std::to_string(term) + "." + std::to_string(number);
  }
};

struct Commit {
  Position at;
  std::string id;  ///< of the single write or the COMMIT
  std::vector<std::pair<std::string, std::string>> writes;
};

/// A statement that a member has run.
struct Run {
  std::string id;
  std::string text;
  uint64_t connection = 0;
};

struct GroupParams {
  std::string service = "ledger";
  int work_ms = 3;
  int promote_ms = 300;
  int beat_ms = 1200;
};

/// One primary and its replicas, `syncReplicas` 1. Replicas receive at once
/// unless they are told not to.
class Group {
 public:
  struct Member {
    std::string id;
    Endpoint address;
    std::string zone;
    bool up = true;
    bool dark = false;  ///< runs nothing, answers nothing
    bool receives = true;
    bool leaving = false;
    bool primary = false;
    uint64_t term = 1;
    uint64_t held = 0;
    uint64_t born = 0;
    uint64_t sequence = 0;
    uint64_t incarnation = 0;
    std::vector<Commit> log;
    std::vector<Run> runs;
    int connections = 0;
    std::unique_ptr<Server> server;
    bool beats = true;
    bool beat_now = false;
    std::string acknowledged_by;  ///< control node of the last heartbeat
  };

  Group(GroupParams params, const std::vector<std::string>& hosts,
        std::vector<Endpoint> control)
      : params_(std::move(params)), control_(std::move(control)) {
    for (size_t i = 0; i < hosts.size(); ++i) {
      auto member = std::make_unique<Member>();
      member->id = "i-" + params_.service + std::to_string(i);
      member->zone = "z" + std::to_string(i);
      member->primary = i == 0;
      member->born = WallMs();
      member->address = {hosts[i], 0};
      members_.push_back(std::move(member));
      Serve(i, 0);
    }
    for (size_t i = 0; i < hosts.size(); ++i)
      beaters_.emplace_back([this, i] { Beat(i); });
  }
  ~Group() {
    StopBeats();
    ended_ = true;
    changed_.notify_all();
    for (std::thread& promoter : promoters_) promoter.join();
    for (auto& member : members_) member->server.reset();
  }

  /// Members say nothing more; to be called before what `path` uses ends.
  void StopBeats() {
    beats_end_ = true;
    for (std::thread& beater : beaters_) beater.join();
    beaters_.clear();
  }

  const GroupParams& params() const { return params_; }
  size_t size() const { return members_.size(); }
  std::mutex& mutex() { return mutex_; }
  Member& member(size_t i) { return *members_[i]; }

  /// Runs `what` under the lock, and lets replicas receive what they may.
  template <typename What>
  auto With(What what) {
    Lock lock(mutex_);
    auto result = what();
    Replicate();
    changed_.notify_all();
    return result;
  }

  /// Address through which member `i` reaches the control node; for a proxy.
  std::function<Endpoint(size_t i, const Endpoint& node)> path =
      [](size_t, const Endpoint& node) { return node; };
  /// Called under the lock as a member takes over.
  std::function<void(const Member&)> on_promoted;

  /// Says at once what member `i` is, and returns whether that was
  /// acknowledged.
  bool BeatOnce(size_t i, int timeout_ms = 1000) {
    std::string body;
    std::string id;
    {
      Lock lock(mutex_);
      Member& member = *members_[i];
      id = member.id;
      body = Text(
          "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\","
          "\"version\":\"v1\",\"slots\":2,\"state\":\"%s\",\"coldLeftMs\":0,"
          "\"dbRole\":\"%s\",\"seq\":%llu,\"born\":%llu}",
          params_.service.c_str(), member.address.ToString().c_str(),
          member.zone.c_str(), member.leaving ? "draining" : "ready",
          member.primary ? "primary" : "replica",
          static_cast<unsigned long long>(++member.sequence),
          static_cast<unsigned long long>(member.born));
    }
    for (size_t k = 0; k < control_.size(); ++k) {
      Endpoint node = control_[(i + k) % control_.size()];
      HttpAnswer answer =
          HttpCall(path(i, node), "POST", "/instances/" + id + "/beat", body,
                   timeout_ms);
      if (answer.status / 100 != 2) continue;
      Lock lock(mutex_);
      members_[i]->acknowledged_by = node.ToString();
      return true;
    }
    return false;
  }

  /// The process of member `i` ends; connections close.
  void End(size_t i) {
    std::unique_ptr<Server> server;
    {
      Lock lock(mutex_);
      members_[i]->up = false;
      server = std::move(members_[i]->server);
      changed_.notify_all();
    }
    server.reset();
  }
  /// Starts again under its id and at its address, without a log.
  void StartAgain(size_t i) {
    Lock lock(mutex_);
    Member& member = *members_[i];
    member.up = true;
    member.leaving = false;
    member.primary = false;
    member.held = 0;
    member.log.clear();
    member.born = WallMs();
    member.sequence = 0;
    ++member.incarnation;
    for (auto& other : members_)
      member.term = std::max(member.term, other->term);
    Serve(i, member.address.port);
    member.beat_now = true;
    Replicate();
    changed_.notify_all();
  }

  /// What the platform does on a promote call. Returns the status.
  int Promote(const std::string& id) {
    Member* chosen = nullptr;
    {
      Lock lock(mutex_);
      chosen = Find(id);
      if (chosen == nullptr || !chosen->up || chosen->dark) return 409;
      if (chosen->primary) return 200;
    }
    Lock lock(mutex_);
    promoters_.emplace_back([this, id] {
      SleepMs(params_.promote_ms);
      TakeOver(id);
    });
    return 200;
  }

 private:
  Member* Find(const std::string& id) {
    for (auto& member : members_)
      if (member->id == id) return member.get();
    return nullptr;
  }

  void TakeOver(const std::string& id) {
    Lock lock(mutex_);
    if (ended_) return;
    Member* chosen = Find(id);
    if (!chosen->up || chosen->dark || chosen->primary) return;
    uint64_t term = 0;
    for (auto& member : members_) term = std::max(term, member->term);
    ++term;
    for (auto& member : members_) {
      member->primary = member.get() == chosen;
      member->term = term;
      member->held = 0;
      member->beat_now = true;
      size_t same = 0;
      while (same < member->log.size() && same < chosen->log.size() &&
             member->log[same].at == chosen->log[same].at)
        ++same;
      member->log.resize(same);
    }
    Note(Text("platform: %s leads term %llu with %zu commits", id.c_str(),
              static_cast<unsigned long long>(term), chosen->log.size()));
    if (on_promoted) on_promoted(*chosen);
    Replicate();
    changed_.notify_all();
  }

  Member* Primary() {
    for (auto& member : members_)
      if (member->primary && member->up && !member->dark) return member.get();
    return nullptr;
  }

  void Replicate() {
    Member* primary = Primary();
    if (primary == nullptr) return;
    for (auto& member : members_) {
      bool may = member.get() != primary && member->up && !member->dark &&
                 member->receives && member->held <= member->term &&
                 member->term <= primary->term;
      if (!may) continue;
      for (size_t k = member->log.size(); k < primary->log.size(); ++k)
        member->log.push_back(primary->log[k]);
    }
  }

  Position Received(const Member& member) const {
    if (member.log.empty()) return {member.term, 0};
    return member.log.back().at;
  }

  /// Returns whether the commit was acknowledged.
  bool CommitAt(Member& member, uint64_t incarnation, const std::string& id,
                std::vector<std::pair<std::string, std::string>> writes,
                Lock& lock) {
    uint64_t number = member.log.empty() ? 1 : member.log.back().at.number + 1;
    Position at{member.term, number};
    member.log.push_back({at, id, std::move(writes)});
    Replicate();
    changed_.notify_all();
    while (!ended_) {
      bool leads = member.up && !member.dark && member.primary &&
                   member.incarnation == incarnation && member.term == at.term;
      if (!leads) return false;
      for (auto& other : members_) {
        bool has = other.get() != &member && other->up &&
                   other->log.size() >= number &&
                   other->log[number - 1].at == at;
        if (has) return true;
      }
      changed_.wait_for(lock, std::chrono::milliseconds(20));
    }
    return false;
  }

  void Serve(size_t i, uint16_t port) {
    Member& member = *members_[i];
    member.server =
        std::make_unique<Server>(Endpoint{member.address.host, port},
                                 [this, i](int fd) { ServeConnection(i, fd); });
    member.address.port = member.server->port();
  }

  struct Session {
    char state = 'I';
    bool plain = false;
    std::map<std::string, std::string> values;
    std::map<std::string, std::pair<bool, std::string>> prepared;
    std::vector<std::pair<std::string, std::string>> writes;
  };

  static std::string Word(std::string* rest) {
    size_t blank = rest->find(' ');
    std::string word = rest->substr(0, blank);
    rest->erase(0, blank == std::string::npos ? blank : blank + 1);
    return word;
  }

  void ServeConnection(size_t i, int fd) {
    Member& member = *members_[i];
    LineReader reader;
    Session session;
    uint64_t connection = ++next_connection_;
    uint64_t incarnation = 0;
    std::string line;
    {
      Lock lock(mutex_);
      incarnation = member.incarnation;
      ++member.connections;
    }
    while (!ended_) {
      LineReader::Got got = reader.Next(fd, &line, 100);
      if (got == LineReader::Got::kEnd) break;
      if (got == LineReader::Got::kTimeout) {
        Lock lock(mutex_);
        if (member.incarnation != incarnation || !member.up) break;
        continue;
      }
      std::optional<std::string> answer;
      {
        Lock lock(mutex_);
        if (member.incarnation != incarnation || !member.up) break;
        if (member.dark) continue;
      }
      std::string rest = line;
      std::string word = Word(&rest);
      if (word == "QUIT") break;
      if (word == "CONNECT") {
        std::string service = Word(&rest);
        Word(&rest);
        std::string id = Word(&rest);
        Lock lock(mutex_);
        if (service != params_.service || (!id.empty() && id != member.id)) {
          lock.unlock();
          SendAll(fd, "ERR MISROUTED -\r\n");
          break;
        }
        answer = Ready(member, session);
      } else if (word == "QUERY") {
        std::string id = Word(&rest);
        if (id != "-" && params_.work_ms > 0) SleepMs(params_.work_ms);
        Lock lock(mutex_);
        if (member.dark) continue;
        if (id != "-") {
          member.runs.push_back({id, rest, connection});
          Note("run " + id + " at " + member.id + ": " + rest);
        }
        answer = Answer(member, incarnation, session, id, rest, lock);
        if (!answer) continue;
      } else {
        break;
      }
      if (!SendAll(fd, *answer)) break;
    }
    Lock lock(mutex_);
    --member.connections;
  }

  std::string Ready(const Member& member, const Session& session) const {
    return Text("READY %c %s\r\n", session.state,
                Received(member).ToString().c_str());
  }

  std::string Done(const Member& member, const Session& session,
                   const std::string& id) const {
    return (id == "-" ? std::string("DONE -\r\n")
                      : "DONE sig." + id + "." + member.id + "\r\n") +
           Ready(member, session);
  }

  std::string Refuse(const Member& member, Session& session,
                     const std::string& code) const {
    if (session.state == 'T') session.state = 'E';
    return "ERR " + code + " " + member.id + "\r\n" + Ready(member, session);
  }

  std::string Status(const Member& member) const {
    uint64_t behind = 0;
    for (const auto& other : members_)
      if (other->primary && other->log.size() > member.log.size())
        behind = other->log.size() - member.log.size();
    return Text("ROW %s %llu %s %llu %llu 0 %d\r\n",
                member.primary ? "primary" : "replica",
                static_cast<unsigned long long>(member.term),
                Received(member).ToString().c_str(),
                static_cast<unsigned long long>(member.held),
                static_cast<unsigned long long>(
                    member.primary || behind == 0 ? 0 : behind * 20),
                member.connections);
  }

  /// Returns nullopt if nothing is answered.
  std::optional<std::string> Answer(Member& member, uint64_t incarnation,
                                    Session& session, const std::string& id,
                                    std::string text, Lock& lock) {
    std::string whole = text;
    std::string verb = Word(&text);
    if (verb == "STATUS") return Status(member) + Done(member, session, "-");
    if (verb == "PAUSE" || verb == "RESUME" || verb == "DEMOTE") {
      uint64_t term = std::strtoull(text.c_str(), nullptr, 10);
      if (verb == "PAUSE" && !member.primary && term > member.term)
        member.held = term;
      if (verb == "RESUME") member.held = 0;
      if (verb == "DEMOTE" && member.primary && term > member.term)
        member.primary = false;
      if (verb == "DEMOTE") member.beat_now = true;
      Note(Text("member %s: %s; received %s, %s", member.id.c_str(),
                whole.c_str(), Received(member).ToString().c_str(),
                member.primary ? "primary" : "replica"));
      Replicate();
      changed_.notify_all();
      return Status(member) + Done(member, session, "-");
    }
    if (session.state == 'E' && verb != "ROLLBACK" && verb != "COMMIT")
      return Refuse(member, session, "MALFORMED");
    if (verb == "AFTER") {
      std::string at = Word(&text);
      Position wanted{
          std::strtoull(at.c_str(), nullptr, 10),
          std::strtoull(at.c_str() + at.find('.') + 1, nullptr, 10)};
      if (Received(member) < wanted) return Refuse(member, session, "LAGGING");
      verb = Word(&text);
    }
    if (verb == "SET") {
      std::string name = Word(&text);
      session.values[name] = text;
      return Done(member, session, "-");
    }
    if (verb == "RESET") {
      session.values.clear();
      session.prepared.clear();
      return Done(member, session, "-");
    }
    if (verb == "PREPARE") {
      std::string name = Word(&text);
      std::string mode = Word(&text);
      session.prepared[name] = {mode == "WRITE", text};
      return Done(member, session, "-");
    }
    if (verb == "BEGIN") {
      bool plain = text != "READ";
      if (plain && !member.primary) return Refuse(member, session, "READONLY");
      session.state = 'T';
      session.plain = plain;
      return Done(member, session, "-");
    }
    if (verb == "ROLLBACK") {
      session.writes.clear();
      session.state = 'I';
      return Done(member, session, "-");
    }
    bool lost = session.state == 'T' && session.plain && !member.primary;
    bool write = verb == "WRITE";
    if (verb == "EXEC") {
      std::string name = Word(&text);
      auto known = session.prepared.find(name);
      if (known == session.prepared.end())
        return Refuse(member, session, "NOSTMT");
      write = known->second.first;
      verb = write ? "WRITE" : "READ";
    }
    if (verb == "READ") {
      if (lost) return Refuse(member, session, "READONLY");
      std::string value = "none";
      for (const Commit& commit : member.log)
        for (const auto& [item, data] : commit.writes)
          if (item == text) value = data;
      return "ROW " + value + "\r\n" + Done(member, session, id);
    }
    if (verb == "WRITE") {
      if (!member.primary) return Refuse(member, session, "READONLY");
      std::string item = Word(&text);
      if (session.state == 'T') {
        session.writes.push_back({item, text});
        return Done(member, session, id);
      }
      if (!CommitAt(member, incarnation, id, {{item, text}}, lock))
        return std::nullopt;
      return Done(member, session, id);
    }
    if (verb == "COMMIT") {
      if (session.state == 'E') {
        session.state = 'I';
        session.writes.clear();
        return "ERR ABORTED " + member.id + "\r\n" + Ready(member, session);
      }
      if (lost && !session.writes.empty())
        return Refuse(member, session, "READONLY");
      session.state = 'I';
      if (session.writes.empty()) return Done(member, session, id);
      if (!CommitAt(member, incarnation, id, std::move(session.writes), lock))
        return std::nullopt;
      session.writes.clear();
      return Done(member, session, id);
    }
    return Refuse(member, session, "MALFORMED");
  }

  void Beat(size_t i) {
    double next = 0;
    while (!beats_end_) {
      SleepMs(10);
      bool due = false;
      {
        Lock lock(mutex_);
        Member& member = *members_[i];
        bool may = member.up && !member.dark && member.beats;
        due = may && (NowS() >= next || member.beat_now);
        if (due) member.beat_now = false;
      }
      if (!due) continue;
      next = NowS() + params_.beat_ms / 1000.0;
      BeatOnce(i);
    }
  }

  GroupParams params_;
  std::vector<Endpoint> control_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> ended_{false};
  std::atomic<bool> beats_end_{false};
  std::atomic<uint64_t> next_connection_{0};
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::thread> beaters_;
  std::vector<std::thread> promoters_;
};

// ---- the platform ----------------------------------------------------------

inline std::string JsonText(const std::string& body, const std::string& key) {
  size_t at = body.find("\"" + key + "\"");
  if (at == std::string::npos) return "";
  size_t begin = body.find('"', body.find(':', at)) + 1;
  return body.substr(begin, body.find('"', begin) - begin);
}

/// Serves `POST /promote`, and checks fencing tokens.
class Platform {
 public:
  Platform(const std::string& host, std::vector<Group*> groups)
      : groups_(std::move(groups)),
        server_({host, 0}, [this](int fd) { Serve(fd); }) {}
  uint16_t port() const { return server_.port(); }

 private:
  void Serve(int fd) {
    LineReader reader;
    std::string line;
    size_t length = 0;
    uint64_t token = 0;
    std::string holder;
    while (true) {
      if (reader.Next(fd, &line, 5000) != LineReader::Got::kLine) return;
      if (line.empty()) break;
      std::string lower = line;
      std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
      if (lower.starts_with("content-length:"))
        length = std::strtoull(line.c_str() + 15, nullptr, 10);
      if (lower.starts_with("x-fence-token:"))
        token = std::strtoull(line.c_str() + 14, nullptr, 10);
      if (lower.starts_with("x-duty-holder:")) holder = line.substr(14);
    }
    std::string body = reader.TakeRest();
    while (body.size() < length) {
      char buffer[4096];
      ssize_t n = ::recv(fd, buffer, sizeof buffer, 0);
      if (n <= 0) return;
      body.append(buffer, static_cast<size_t>(n));
    }
    std::string service = JsonText(body, "service");
    std::string id = JsonText(body, "id");
    int status = 409;
    {
      Lock lock(mutex_);
      uint64_t& newest = newest_[service];
      if (token >= newest) {
        newest = token;
        for (Group* group : groups_)
          if (group->params().service == service) status = group->Promote(id);
      }
    }
    Note(Text("platform: promote %s %s holder%s token %llu -> %d",
              service.c_str(), id.c_str(), holder.c_str(),
              static_cast<unsigned long long>(token), status));
    SendAll(fd, Text("HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                     "Content-Length: 2\r\nConnection: close\r\n\r\n{}",
                     status));
  }

  std::vector<Group*> groups_;
  std::mutex mutex_;
  std::map<std::string, uint64_t> newest_;
  Server server_;
};

// ---- the system ------------------------------------------------------------

struct SystemParams {
  std::string program;
  std::string net = "127.0.60.";  ///< hosts .1 and so on
  int stewards = 3;
  int relays = 2;
  int grace_s = 6;
  int memory_mb = 182;
  int descriptors = 2940;
  int link_mbps = 700;
  std::string extra = "";  ///< of the settings of each relay and steward
};

/// Stewards and relays as processes, with settings as deploy/node.template
/// makes them.
class System {
 public:
  System(SystemParams params, std::string folder)
      : params_(std::move(params)), folder_(std::move(folder)) {
    std::vector<std::string> hosts;
    for (int i = 1; i <= params_.stewards + params_.relays; ++i)
      hosts.push_back(params_.net + std::to_string(i));
    peers_ = FreePort(hosts);
    do http_ = FreePort(hosts);
    while (http_ == peers_);
    do callers_ = FreePort(hosts);
    while (callers_ == peers_ || callers_ == http_);
    processes_.resize(hosts.size());
  }

  std::string Host(int i) const { return params_.net + std::to_string(i + 1); }
  Endpoint Control(int i) const { return {Host(i), http_}; }
  std::vector<Endpoint> AllControl() const {
    std::vector<Endpoint> all;
    for (int i = 0; i < params_.stewards; ++i) all.push_back(Control(i));
    return all;
  }
  Endpoint Callers(int relay) const {
    return {Host(params_.stewards + relay), callers_};
  }
  Endpoint ReadyAt(int relay) const {
    return {Host(params_.stewards + relay), http_};
  }
  Endpoint Peers(int i) const { return {Host(i), peers_}; }

  void StartSteward(int i, bool may_found, uint16_t platform_port) {
    Start(i, "steward", "core-" + std::to_string(i),
          "http = \"" + Control(i).ToString() + "\"\n",
          std::string("may_found = ") + (may_found ? "true" : "false") +
              "\nfencing = true\ndata_folder = \"" + DataOf(i) +
              "\"\npromote_at = \"127.0.0.1:" + std::to_string(platform_port) +
              "\"\n");
  }
  void StartRelay(int relay) {
    int i = params_.stewards + relay;
    Start(i, "relay", "front-" + std::to_string(relay),
          "callers = \"" + Callers(relay).ToString() + "\"\nready = \"" +
              ReadyAt(relay).ToString() + "\"\n",
          "may_found = false\nfencing = true\n");
  }
  Process& Steward(int i) { return *processes_[static_cast<size_t>(i)]; }
  Process& Relay(int i) {
    return *processes_[static_cast<size_t>(params_.stewards + i)];
  }
  std::string DataOf(int i) const {
    return folder_ + "/data-" + std::to_string(i);
  }
  std::string LogOf(int i) const {
    return folder_ + "/process-" + std::to_string(i) + ".log";
  }
  bool Ready(int relay) const {
    return HttpCall(ReadyAt(relay), "GET", "/ready", "", 500).status == 200;
  }

 private:
  void Start(int i, const std::string& kind, const std::string& vm,
             const std::string& listen, const std::string& control) {
    std::string path = folder_ + "/node-" + std::to_string(i) + ".toml";
    std::ofstream file(path, std::ios::trunc);
    file << "kind = \"" << kind << "\"\nvm = \"" << vm << "\"\nzone = \"z"
         << i % 3
         << "\"\nlog_level = \"info\"\nlink_mbps = " << params_.link_mbps
         << "\n[listen]\npeers = \"" << Peers(i).ToString() << "\"\n"
         << listen << "[control]\nseeds = [";
    for (int k = 0; k < std::min(3, params_.stewards); ++k)
      file << (k > 0 ? ", " : "") << "\"" << Control(k).ToString() << "\"";
    file << "]\n"
         << control << "[drain]\ngrace_s = " << params_.grace_s << "\n"
         << params_.extra << "[limits]\nmemory_mb = "
         << (kind == "steward" ? 256 : params_.memory_mb)
         << "\ndescriptors = " << params_.descriptors << "\n";
    file.close();
    processes_[static_cast<size_t>(i)] = std::make_unique<Process>(
        params_.program, std::vector<std::string>{"--config", path}, LogOf(i));
  }

  SystemParams params_;
  std::string folder_;
  uint16_t peers_ = 0;
  uint16_t http_ = 0;
  uint16_t callers_ = 0;
  std::vector<std::unique_ptr<Process>> processes_;
};

struct RouteText {
  std::string name;
  std::string database;
  std::string type;
  std::string service;
  int timeout_ms = 800;
  int slo_ms = 200;
  int priority = 1;
  int staleness_ms = 2500;
};

inline std::string ConfigText(uint64_t version,
                              const std::vector<RouteText>& routes,
                              const std::vector<std::string>& services,
                              int max_connections = 36) {
  std::string text =
      Text("{\"version\":%llu,\"routes\":[", (unsigned long long)version);
  for (size_t i = 0; i < routes.size(); ++i) {
    const RouteText& r = routes[i];
    text += Text(
        "%s{\"name\":\"%s\",\"host\":\"%s\",\"pathPrefix\":\"/\",\"type\":"
        "\"%s\",\"timeoutMs\":%d,\"sloMs\":%d,\"prio\":%d,\"service\":\"%s\","
        "\"attempts\":2,\"maxStalenessMs\":%d}",
        i > 0 ? "," : "", r.name.c_str(), r.database.c_str(), r.type.c_str(),
        r.timeout_ms, r.slo_ms, r.priority, r.service.c_str(), r.staleness_ms);
  }
  text += "],\"services\":[";
  for (size_t i = 0; i < services.size(); ++i)
    text += Text(
        "%s{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConns\":%d,"
        "\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":1}",
        i > 0 ? "," : "", services[i].c_str(), max_connections);
  return text +
         "],\"limits\":{\"headerBytes\":16384,\"bodyBytes\":262144,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"txIdleMs\":3000}}";
}

/// Sends a configuration to one control node after another until it is
/// acknowledged.
inline bool PutConfig(const System& system, const std::string& body,
                      double limit_s) {
  double end = NowS() + limit_s;
  while (NowS() < end) {
    for (const Endpoint& node : system.AllControl()) {
      HttpAnswer answer = ControlCall(node, "POST", "/config/put", body, 1000);
      if (answer.status == 200) return true;
    }
    SleepMs(100);
  }
  return false;
}

inline bool WaitFor(const std::function<bool()>& done, double limit_s) {
  double end = NowS() + limit_s;
  while (NowS() < end) {
    if (done()) return true;
    SleepMs(50);
  }
  return done();
}

// ---- clients ---------------------------------------------------------------

struct Answer {
  bool came = false;  ///< up to READY
  bool done = false;
  std::string code;  ///< of ERR
  std::string signature;
  std::vector<std::string> rows;
  char state = '?';
  bool timed_out = false;
};

class Client {
 public:
  ~Client() { Close(); }
  bool Connect(const Endpoint& relay, const std::string& database,
               const std::string& who = "u1", int timeout_ms = 2000) {
    Close();
    fd_ = ConnectTo(relay, timeout_ms);
    if (fd_ < 0) return false;
    if (!SendAll(fd_, "CONNECT " + database + " " + who + "\r\n")) return false;
    Answer answer = Read(timeout_ms);
    if (!answer.came || !answer.code.empty()) Close();
    return fd_ >= 0;
  }
  bool open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
    reader_ = LineReader();
  }
  Answer Query(const std::string& id, const std::string& text,
               int timeout_ms = 5000) {
    if (fd_ < 0 || !SendAll(fd_, "QUERY " + id + " " + text + "\r\n")) {
      Close();
      return {};
    }
    Answer answer = Read(timeout_ms);
    if (!answer.came) Close();
    return answer;
  }
  Answer Read(int timeout_ms) {
    Answer answer;
    double limit = NowS() + timeout_ms / 1000.0;
    std::string line;
    while (true) {
      int left = std::max(0, static_cast<int>((limit - NowS()) * 1000));
      LineReader::Got got = reader_.Next(fd_, &line, left);
      if (got != LineReader::Got::kLine) {
        answer.timed_out = got == LineReader::Got::kTimeout;
        return answer;
      }
      if (line.starts_with("ROW ")) answer.rows.push_back(line.substr(4));
      if (line.starts_with("DONE ")) {
        answer.done = true;
        answer.signature = line.substr(5);
      }
      if (line.starts_with("ERR "))
        answer.code = line.substr(4, line.find(' ', 4) - 4);
      if (line.starts_with("READY ")) {
        answer.state = line.size() > 6 ? line[6] : '?';
        answer.came = true;
        return answer;
      }
    }
  }

 private:
  int fd_ = -1;
  LineReader reader_;
};

inline std::string NewId(const std::string& prefix) {
  static std::atomic<uint64_t> next{0};
  return Text("%s%06llu", prefix.c_str(),
              static_cast<unsigned long long>(++next));
}

/// A temporary folder that is removed at the end, unless KEEP is set.
class Folder {
 public:
  Folder() {
    const char* tmp = std::getenv("TMPDIR");
    std::string name = std::string(tmp ? tmp : "/tmp") + "/review-3-XXXXXX";
    std::vector<char> text(name.begin(), name.end());
    text.push_back('\0');
    if (::mkdtemp(text.data()) != nullptr) path_ = text.data();
  }
  ~Folder() {
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(path_, ignored);
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// Ends the test, and with it its processes, before the time of a script is up.
inline void LimitTime() {
  ::signal(SIGPIPE, SIG_IGN);
  ::signal(SIGALRM, [](int) { ::_exit(kCannotRun); });
  ::alarm(115);
}

inline bool Trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review

#endif  // REVIEW_STANDIN_3_HARNESS_H_
