// Stand-ins for the cases of this review: the machines' processes, a database
// group, the platform, the operator and clients. Loopback only; everything
// that is started ends with the program.
#ifndef REVIEW_STAGE_2_STAGE_H_
#define REVIEW_STAGE_2_STAGE_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
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
#include <vector>

namespace stage {

using Clock = std::chrono::steady_clock;

inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// The record of a run: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Add(const std::string& line) {
    std::lock_guard<std::mutex> lock(mutex_);
    char at[32];
    std::snprintf(at, sizeof at, "%9.3f  ", static_cast<double>(Ms()) / 1000);
    file_ << at << line << "\n" << std::flush;
  }
  int64_t Ms() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                                 start_)
        .count();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

/// Bytes as printable text.
inline std::string Show(const std::string& bytes) {
  std::string out;
  for (unsigned char c : bytes) {
    if (c >= ' ' && c < 127) {
      out.push_back(static_cast<char>(c));
      continue;
    }
    char hex[8];
    std::snprintf(hex, sizeof hex, "\\x%02x", c);
    out += hex;
  }
  return out;
}

// ---- sockets ---------------------------------------------------------------

inline sockaddr_in At(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const std::string& host, int port) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = At(host, port);
  bool bound =
      ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
      ::listen(fd, 256) == 0;
  if (bound) return fd;
  ::close(fd);
  return -1;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline int Connect(const std::string& host, int port, int timeout_ms) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit = {timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in address = At(host, port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
    return fd;
  ::close(fd);
  return -1;
}

inline bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t count =
        ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

/// Reads lines that end with CR LF.
class LineReader {
 public:
  explicit LineReader(int fd) : fd_(fd) {}
  std::optional<std::string> Next() {
    while (true) {
      size_t end = in_.find("\r\n");
      if (end != std::string::npos) {
        std::string line = in_.substr(0, end);
        in_.erase(0, end + 2);
        return line;
      }
      char bytes[4096];
      ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
      if (count <= 0) return std::nullopt;
      in_.append(bytes, static_cast<size_t>(count));
    }
  }

 private:
  int fd_;
  std::string in_;
};

// ---- HTTP ------------------------------------------------------------------

struct HttpReply {
  int status = 0;  ///< 0: no answer
  std::string body;
  std::string location;
};

inline HttpReply Call(const std::string& host, int port,
                      const std::string& method, const std::string& path,
                      const std::string& body, int timeout_ms = 1000) {
  HttpReply reply;
  int fd = Connect(host, port, timeout_ms);
  if (fd < 0) return reply;
  std::ostringstream request;
  request << method << " " << path << " HTTP/1.1\r\nHost: " << host << ":"
          << port << "\r\nContent-Type: application/json\r\nContent-Length: "
          << body.size() << "\r\nConnection: close\r\n\r\n"
          << body;
  std::string in;
  if (SendAll(fd, request.str())) {
    char bytes[4096];
    ssize_t count = 0;
    while ((count = ::recv(fd, bytes, sizeof bytes, 0)) > 0)
      in.append(bytes, static_cast<size_t>(count));
  }
  ::close(fd);
  size_t head = in.find("\r\n\r\n");
  if (head == std::string::npos || in.size() < 12) return reply;
  reply.status = std::atoi(in.c_str() + 9);
  reply.body = in.substr(head + 4);
  size_t at = in.find("Location: ");
  if (at != std::string::npos && at < head)
    reply.location = in.substr(at + 10, in.find("\r\n", at) - at - 10);
  return reply;
}

/// Calls one of several hosts after another, following redirects twice.
inline HttpReply CallAny(const std::vector<std::string>& hosts, int port,
                         const std::string& method, const std::string& path,
                         const std::string& body) {
  HttpReply reply;
  for (const std::string& first : hosts) {
    std::string host = first;
    for (int hop = 0; hop < 3; ++hop) {
      reply = Call(host, port, method, path, body);
      if (reply.status != 307) break;
      size_t begin = reply.location.find("//") + 2;
      host =
          reply.location.substr(begin, reply.location.find(':', begin) - begin);
    }
    if (reply.status == 200 || (reply.status >= 400 && reply.status < 500))
      return reply;
  }
  return reply;
}

// ---- the machines' processes -----------------------------------------------

class Process {
 public:
  Process(const std::string& config, const std::string& log) {
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::execl("target/bin/cardamomchuted", "target/bin/cardamomchuted",
            "--config", config.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  ~Process() { Kill(); }
  void Signal(int signal) {
    if (pid_ > 0) ::kill(pid_, signal);
  }
  void Kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGCONT);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  /// Resident memory in KiB, at present ("VmRSS:") or the most so far
  /// ("VmHWM:"); 0 if the process has ended.
  int64_t ResidentKib(const std::string& which = "VmRSS:") const {
    if (pid_ <= 0) return 0;
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string word;
    while (status >> word) {
      int64_t kib = 0;
      if (word == which && status >> kib) return kib;
    }
    return 0;
  }
  /// Returns whether the process ended by itself within the time.
  bool Ended(int within_ms) {
    for (int waited = 0; pid_ > 0; waited += 20) {
      if (::waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = -1;
      if (pid_ < 0) return true;
      if (waited >= within_ms) return false;
      SleepMs(20);
    }
    return true;
  }

 private:
  pid_t pid_ = -1;
};

// ---- a database group ------------------------------------------------------

struct Commit {
  uint64_t term = 0;
  std::string item;
  std::string data;
};

struct Position {
  uint64_t term = 0;
  uint64_t number = 0;
  friend auto operator<=>(const Position&, const Position&) = default;
};

struct Member {
  std::string id;
  int port = 0;
  int listener = -1;
  bool primary = false;
  uint64_t term = 1;
  uint64_t paused_below = 0;
  std::vector<Commit> log;
  std::string state = "ready";
  uint64_t born = 0;
  uint64_t sequence = 0;
  bool announces = true;
};

/// What a member does with an answer.
enum class AnswerFate { kSend, kLose };

struct Ran {
  std::string member;
  std::string id;
  std::string text;
};

class Group {
 public:
  Group(std::string name, std::string host, size_t members, Record* record)
      : name_(std::move(name)), host_(std::move(host)), record_(record) {
    for (size_t i = 0; i < members; ++i) {
      std::unique_ptr<Member> member = std::make_unique<Member>();
      member->id = "i-" + name_ + std::to_string(i);
      member->listener = Listen(host_, 0);
      member->port = PortOf(member->listener);
      member->primary = i == 0;
      member->born = 1700000000000;
      connections_[member->id] = 0;
      members_.push_back(std::move(member));
    }
    for (std::unique_ptr<Member>& member : members_) {
      Member* self = member.get();
      threads_.emplace_back([this, self] { Accept(self); });
    }
  }
  ~Group() {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      stopped_ = true;
      for (int fd : open_) ::shutdown(fd, SHUT_RDWR);
    }
    for (std::unique_ptr<Member>& member : members_)
      ::shutdown(member->listener, SHUT_RDWR);
    for (std::thread& thread : threads_) thread.join();
    while (sessions_ > 0) SleepMs(5);
    for (std::unique_ptr<Member>& member : members_) ::close(member->listener);
  }

  /// Decides about each answer; called without locks.
  std::function<AnswerFate(const Member&, const std::string& id,
                           const std::string& text)>
      fate;
  std::function<int64_t(const std::string& text)> work_ms =
      [](const std::string&) { return 1; };
  int max_connections = 36;

  const std::string& name() const { return name_; }
  size_t size() const { return members_.size(); }
  Member& member(size_t i) { return *members_[i]; }
  std::vector<Ran> ran() {
    std::lock_guard<std::mutex> lock(mutex_);
    return ran_;
  }
  std::vector<Commit> PrimaryLog() {
    std::lock_guard<std::mutex> lock(mutex_);
    for (std::unique_ptr<Member>& member : members_)
      if (member->primary) return member->log;
    return {};
  }

  /// As the platform does.
  void Promote(const std::string& id) {
    std::lock_guard<std::mutex> lock(mutex_);
    Member* chosen = nullptr;
    for (std::unique_ptr<Member>& member : members_)
      if (member->id == id) chosen = member.get();
    if (chosen == nullptr || chosen->primary) return;
    ++term_;
    for (std::unique_ptr<Member>& member : members_) {
      member->primary = member.get() == chosen;
      member->term = term_;
      member->paused_below = 0;
      if (member.get() != chosen) member->log = chosen->log;
    }
    record_->Add("promoted " + id);
  }

  std::string BeatBody(size_t i) {
    std::lock_guard<std::mutex> lock(mutex_);
    Member& member = *members_[i];
    std::ostringstream body;
    body << "{\"service\":\"" << name_ << "\",\"addr\":\"" << host_ << ":"
         << member.port << "\",\"zone\":\"wk-a\",\"version\":\"v1\",\"slots\":2"
         << ",\"state\":\"" << member.state << "\",\"coldLeftMs\":0"
         << ",\"dbRole\":\"" << (member.primary ? "primary" : "replica")
         << "\",\"born\":" << member.born << ",\"seq\":" << ++member.sequence
         << "}";
    return body.str();
  }

 private:
  struct Session {
    int fd = -1;
    char state = 'I';
    bool plain = false;
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared;
    std::vector<Commit> writes;
  };

  void Accept(Member* member) {
    while (true) {
      int fd = ::accept4(member->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::lock_guard<std::mutex> lock(mutex_);
      if (stopped_) {
        ::close(fd);
        return;
      }
      open_.insert(fd);
      ++sessions_;
      std::thread([this, member, fd] {
        Serve(member, fd);
        {
          std::lock_guard<std::mutex> guard(mutex_);
          open_.erase(fd);
          ::close(fd);
        }
        --sessions_;
      }).detach();
    }
  }

  Position At(const Member& member) const {
    return Position{member.term, member.log.size()};
  }
  static std::string Text(const Position& at) {
    return std::to_string(at.term) + "." + std::to_string(at.number);
  }
  static std::string Word(std::string* rest) {
    size_t blank = rest->find(' ');
    std::string word = rest->substr(0, blank);
    *rest = blank == std::string::npos ? "" : rest->substr(blank + 1);
    return word;
  }

  void Serve(Member* member, int fd) {
    LineReader reader(fd);
    Session session;
    session.fd = fd;
    std::optional<std::string> hello = reader.Next();
    if (!hello) return;
    std::string rest = *hello;
    bool word = Word(&rest) == "CONNECT";
    std::string service = Word(&rest);
    Word(&rest);
    if (!word || service != name_ || (!rest.empty() && rest != member->id)) {
      SendAll(fd, "ERR MISROUTED " + member->id + "\r\n");
      return;
    }
    struct Count {
      explicit Count(std::atomic<int>* count) : count_(count) { ++*count_; }
      ~Count() { --*count_; }
      std::atomic<int>* count_;
    };
    Count counted(&connections_.at(member->id));
    if (connections_.at(member->id) > max_connections) {
      SendAll(fd, "ERR TOOMANY " + member->id + "\r\n");
      return;
    }
    {
      std::lock_guard<std::mutex> lock(mutex_);
      rest = "READY I " + Text(At(*member)) + "\r\n";
    }
    if (!SendAll(fd, rest)) return;
    while (std::optional<std::string> line = reader.Next()) {
      std::string text = *line;
      if (Word(&text) != "QUERY") return;
      std::string id = Word(&text);
      if (id != "-") {
        std::lock_guard<std::mutex> lock(mutex_);
        ran_.push_back({member->id, id, text});
        record_->Add("run      " + member->id + " " + id + " " + Show(text));
      }
      std::string answer = Run(member, &session, text);
      if (fate && fate(*member, id, text) == AnswerFate::kLose) {
        record_->Add("lost     " + member->id + " answer to " + id + " " +
                     Show(text));
        continue;
      }
      if (!SendAll(fd, answer)) return;
    }
  }

  std::string Fail(Member* member, Session* session, const std::string& code) {
    if (session->state == 'T') session->state = 'E';
    return "ERR " + code + " " + member->id + "\r\n" + Ready(member, session);
  }
  std::string Ready(Member* member, Session* session) {
    return std::string("READY ") + session->state + " " + Text(At(*member)) +
           "\r\n";
  }
  std::string Done(Member* member, Session* session, bool sign) {
    std::string signature = sign ? "sig." + std::to_string(++signatures_) : "-";
    return "DONE " + signature + "\r\n" + Ready(member, session);
  }

  std::string Run(Member* member, Session* session, std::string text) {
    std::string full = text;
    std::string rest = text;
    std::string verb = Word(&rest);
    if (verb == "AFTER") {
      std::string at = Word(&rest);
      size_t dot = at.find('.');
      Position wanted{std::stoull(at.substr(0, dot)),
                      std::stoull(at.substr(dot + 1))};
      std::lock_guard<std::mutex> lock(mutex_);
      if (At(*member) < wanted) return Fail(member, session, "LAGGING");
    }
    if (verb == "AFTER") return Run(member, session, rest);
    if (verb == "EXEC") {
      std::string name = Word(&rest);
      if (!session->prepared.contains(name)) {
        std::lock_guard<std::mutex> lock(mutex_);
        return Fail(member, session, "NOSTMT");
      }
      return Run(member, session, session->prepared[name] + " " + rest);
    }
    bool works = verb == "READ" || verb == "WRITE" || verb == "COMMIT";
    if (works) SleepMs(work_ms(full));
    std::lock_guard<std::mutex> lock(mutex_);
    if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" ||
        verb == "DEMOTE") {
      if (verb == "PAUSE") member->paused_below = std::stoull(rest);
      if (verb == "RESUME") member->paused_below = 0;
      if (verb == "DEMOTE" && std::stoull(rest) > member->term)
        member->primary = false;
      return std::string("ROW ") + (member->primary ? "primary" : "replica") +
             " " + std::to_string(member->term) + " " + Text(At(*member)) +
             " " + std::to_string(member->paused_below) + " 0 0 1\r\n" +
             Done(member, session, false);
    }
    if (verb == "RESET") {
      session->values.clear();
      session->prepared.clear();
      return Done(member, session, false);
    }
    if (verb == "SET") {
      std::string name = Word(&rest);
      session->values[name] = rest;
      return Done(member, session, false);
    }
    if (verb == "PREPARE") {
      std::string name = Word(&rest);
      session->prepared[name] = Word(&rest);
      return Done(member, session, false);
    }
    if (verb == "BEGIN") {
      bool plain = rest != "READ";
      if (plain && !member->primary) return Fail(member, session, "READONLY");
      session->state = 'T';
      session->plain = plain;
      return Done(member, session, false);
    }
    if (verb == "ROLLBACK") {
      session->writes.clear();
      session->state = 'I';
      return Done(member, session, false);
    }
    if (session->state == 'E') return Fail(member, session, "MALFORMED");
    bool lost = session->state == 'T' && session->plain && !member->primary;
    if (verb == "READ") {
      if (lost) return Fail(member, session, "READONLY");
      std::string data = "none";
      for (const Commit& commit : member->log)
        if (commit.item == rest) data = commit.data;
      return "ROW " + data + "\r\n" + Done(member, session, true);
    }
    if (verb == "WRITE") {
      if (!member->primary) return Fail(member, session, "READONLY");
      std::string item = Word(&rest);
      session->writes.push_back({member->term, item, rest});
      if (session->state == 'T') return Done(member, session, true);
      return Apply(member, session);
    }
    if (verb == "COMMIT") {
      if (lost && !session->writes.empty())
        return Fail(member, session, "READONLY");
      session->state = 'I';
      if (session->writes.empty()) return Done(member, session, true);
      return Apply(member, session);
    }
    return Fail(member, session, "MALFORMED");
  }

  std::string Apply(Member* member, Session* session) {
    for (const Commit& commit : session->writes) {
      member->log.push_back(commit);
      record_->Add("commit   " + member->id + " " + commit.item + " = " +
                   Show(commit.data));
    }
    session->writes.clear();
    for (std::unique_ptr<Member>& other : members_) {
      if (other.get() == member || other->paused_below > member->term) continue;
      other->log = member->log;
      other->term = member->term;
    }
    return Done(member, session, true);
  }

  std::string name_;
  std::string host_;
  Record* record_;
  std::mutex mutex_;
  bool stopped_ = false;
  uint64_t term_ = 1;
  uint64_t signatures_ = 0;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::thread> threads_;
  std::set<int> open_;
  std::atomic<int> sessions_{0};
  std::map<std::string, std::atomic<int>> connections_;
  std::vector<Ran> ran_;
};

// ---- a small deployment ----------------------------------------------------

/// Three stewards, some relays, one group, the platform.
class Deployment {
 public:
  Deployment(size_t relays, Record* record)
      : record_(record),
        net_("127.77." + std::to_string(1 + ::getpid() % 250) + "."),
        group_("jobdb", net_ + "60", 3, record) {
    char folder[] = "/tmp/review-XXXXXX";
    folder_ = ::mkdtemp(folder);
    peers_ = FreePort();
    control_ = FreePort();
    front_ = FreePort();
    ready_ = FreePort();
    platform_ = Listen(net_ + "70", 0);
    threads_.emplace_back([this] { Platform(); });
    for (size_t i = 0; i < 3; ++i) {
      stewards_.emplace_back();
      StartSteward(i, true);
    }
    for (size_t i = 0; i < relays; ++i) {
      relays_.emplace_back();
      StartRelay(i);
    }
  }
  ~Deployment() {
    stopped_ = true;
    ::shutdown(platform_, SHUT_RDWR);
    for (std::thread& thread : threads_) thread.join();
    ::close(platform_);
    relays_.clear();
    stewards_.clear();
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(folder_, ignored);
  }

  Group& group() { return group_; }
  std::string RelayHost(size_t i) const {
    return net_ + std::to_string(31 + i);
  }
  std::string StewardHost(size_t i) const {
    return net_ + std::to_string(11 + i);
  }
  std::vector<std::string> StewardHosts() const {
    return {StewardHost(0), StewardHost(1), StewardHost(2)};
  }
  int front() const { return front_; }
  int control() const { return control_; }
  Process& relay(size_t i) { return *relays_[i]; }
  Process& steward(size_t i) { return *stewards_[i]; }
  const std::string& folder() const { return folder_; }

  void StartSteward(size_t i, bool found) {
    std::ostringstream listen;
    listen << "http = \"" << StewardHost(i) << ":" << control_ << "\"\n";
    std::ostringstream more;
    more << "data_folder = \"" << folder_ << "/data" << i << "\"\n"
         << "promote_at = \"" << net_ << "70:" << PortOf(platform_) << "\"\n";
    stewards_[i] =
        Start("steward", i, StewardHost(i), listen.str(), found, more.str());
  }
  void StartRelay(size_t i) {
    std::ostringstream listen;
    listen << "callers = \"" << RelayHost(i) << ":" << front_ << "\"\n"
           << "ready = \"" << RelayHost(i) << ":" << ready_ << "\"\n";
    relays_[i] = Start("relay", i, RelayHost(i), listen.str(), false, "");
  }

  /// Sends a configuration until it is accepted.
  bool PutConfig(uint64_t version, const std::string& routes) {
    std::ostringstream body;
    body << "{\"version\":" << version << ",\"routes\":[" << routes
         << "],\"services\":[{\"name\":\"jobdb\",\"healthPath\":\"/health\","
            "\"maxConns\":"
         << group_.max_connections
         << ",\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":1}],"
            "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":262144,"
            "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,"
            "\"txIdleMs\":3000}}";
    return Eventually(15000, [&] {
      int status =
          CallAny(StewardHosts(), control_, "POST", "/config/put", body.str())
              .status;
      if (status == 200)
        record_->Add("config " + std::to_string(version) + " acknowledged");
      return status == 200;
    });
  }
  static std::string Route(const std::string& database, const std::string& type,
                           int timeout_ms) {
    std::string staleness = type == "bounded"   ? ",\"maxStalenessMs\":1500"
                            : type == "session" ? ",\"maxStalenessMs\":2500"
                                                : "";
    return "{\"name\":\"r-" + database + "\",\"host\":\"" + database +
           "\",\"pathPrefix\":\"/\",\"type\":\"" + type +
           "\",\"timeoutMs\":" + std::to_string(timeout_ms) +
           ",\"sloMs\":200,\"prio\":0,\"service\":\"jobdb\",\"attempts\":2" +
           staleness + "}";
  }
  /// The members send heartbeats from now on.
  void Announce(int interval_ms = 500) {
    threads_.emplace_back([this, interval_ms] {
      while (!stopped_) {
        for (size_t i = 0; i < group_.size(); ++i) {
          if (!group_.member(i).announces) continue;
          CallAny(StewardHosts(), control_, "POST",
                  "/instances/" + group_.member(i).id + "/beat",
                  group_.BeatBody(i));
        }
        for (int waited = 0; waited < interval_ms && !stopped_; waited += 20)
          SleepMs(20);
      }
    });
  }
  bool Ready(size_t i) {
    return Call(RelayHost(i), ready_, "GET", "/ready", "", 500).status == 200;
  }
  static bool Eventually(int within_ms, const std::function<bool()>& done) {
    Clock::time_point end = Clock::now() + std::chrono::milliseconds(within_ms);
    while (Clock::now() < end) {
      if (done()) return true;
      SleepMs(50);
    }
    return done();
  }

 private:
  int FreePort() {
    while (true) {
      int fd = Listen(net_ + "99", 0);
      int port = PortOf(fd);
      ::close(fd);
      bool free = port != peers_ && port != control_ && port != front_;
      for (int host = 11; host <= 40 && free; ++host) {
        int probe = Listen(net_ + std::to_string(host), port);
        free = probe >= 0;
        if (probe >= 0) ::close(probe);
      }
      if (free) return port;
    }
  }

  std::unique_ptr<Process> Start(const std::string& kind, size_t i,
                                 const std::string& host,
                                 const std::string& listen, bool found,
                                 const std::string& more) {
    std::string name = kind + std::to_string(i);
    std::string path = folder_ + "/" + name + ".toml";
    std::ofstream file(path);
    const char* zones[] = {"wk-a", "wk-b", "wk-c"};
    bool relay = kind == "relay";
    file << "kind = \"" << kind << "\"\nvm = \"" << name << "\"\nzone = \""
         << zones[i % 3] << "\"\nlog_level = \"info\"\nlink_mbps = "
         << (relay ? "700.0" : "1000.0") << "\n[listen]\npeers = \"" << host
         << ":" << peers_ << "\"\n"
         << listen << "[control]\nseeds = [";
    for (size_t s = 0; s < 3; ++s)
      file << (s == 0 ? "" : ", ") << "\"" << StewardHost(s) << ":" << control_
           << "\"";
    file << "]\nmay_found = " << (found ? "true" : "false")
         << "\nfencing = true\n"
         << more << "[drain]\ngrace_s = 6\n[limits]\nmemory_mb = "
         << (relay ? 182 : 256) << "\ndescriptors = " << (relay ? 2940 : 4096)
         << "\n";
    file.close();
    record_->Add("start    " + name);
    return std::make_unique<Process>(path, folder_ + "/" + name + ".log");
  }

  void Platform() {
    uint64_t seen = 0;
    while (true) {
      int fd = ::accept4(platform_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      timeval limit = {1, 0};
      ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
      std::string in;
      char bytes[4096];
      while (in.find('}') == std::string::npos) {
        ssize_t count = ::recv(fd, bytes, sizeof bytes, 0);
        if (count <= 0) break;
        in.append(bytes, static_cast<size_t>(count));
      }
      size_t at = in.find("X-Fence-Token: ");
      uint64_t token =
          at == std::string::npos ? 0 : std::stoull(in.substr(at + 15));
      std::string status = "200 OK";
      if (token < seen) status = "409 Conflict";
      seen = std::max(seen, token);
      std::string id;
      for (size_t i = 0; i < group_.size(); ++i)
        if (in.find("\"" + group_.member(i).id + "\"") != std::string::npos)
          id = group_.member(i).id;
      record_->Add("platform promote " + id + " token " +
                   std::to_string(token) + " -> " + status);
      SendAll(fd, "HTTP/1.1 " + status +
                      "\r\nContent-Type: application/json\r\n"
                      "Content-Length: 2\r\nConnection: close\r\n\r\n{}");
      ::close(fd);
      if (status == "200 OK" && !id.empty()) {
        SleepMs(300);
        group_.Promote(id);
      }
    }
  }

  Record* record_;
  std::string net_;
  Group group_;
  std::string folder_;
  int peers_ = 0;
  int control_ = 0;
  int front_ = 0;
  int ready_ = 0;
  int platform_ = -1;
  std::atomic<bool> stopped_{false};
  std::vector<std::unique_ptr<Process>> stewards_;
  std::vector<std::unique_ptr<Process>> relays_;
  std::vector<std::thread> threads_;
};

// ---- a client --------------------------------------------------------------

struct Answer {
  bool whole = false;  ///< up to its READY
  std::vector<std::string> lines;
  std::string Text() const {
    std::string text;
    for (const std::string& line : lines) text += line + " | ";
    return whole ? text : text + "(no READY)";
  }
  bool Done() const {
    for (const std::string& line : lines)
      if (line.starts_with("DONE")) return whole;
    return false;
  }
};

class Client {
 public:
  Client(const std::string& host, int port, const std::string& database,
         int timeout_ms = 5000)
      : fd_(Connect(host, port, timeout_ms)), reader_(fd_) {
    if (fd_ < 0) return;
    SendAll(fd_, "CONNECT " + database + " client\r\n");
    open_ = Receive().whole;
  }
  ~Client() {
    if (fd_ >= 0) ::close(fd_);
  }
  bool open() const { return open_; }
  int fd() const { return fd_; }
  Answer Receive() {
    Answer answer;
    while (std::optional<std::string> line = reader_.Next()) {
      answer.lines.push_back(*line);
      answer.whole = line->starts_with("READY");
      if (answer.whole) return answer;
    }
    return answer;
  }
  Answer Query(const std::string& id, const std::string& text) {
    SendAll(fd_, "QUERY " + id + " " + text + "\r\n");
    return Receive();
  }

 private:
  int fd_;
  LineReader reader_;
  bool open_ = false;
};

/// Waits until all relays serve a read of the database.
inline bool Serving(Deployment& deployment, size_t relays,
                    const std::string& database) {
  return Deployment::Eventually(20000, [&] {
    for (size_t i = 0; i < relays; ++i) {
      if (!deployment.Ready(i)) return false;
      Client client(deployment.RelayHost(i), deployment.front(), database);
      if (!client.open()) return false;
      static std::atomic<int> number{0};
      std::string id = "warm" + std::to_string(++number);
      if (!client.Query(id, "WRITE warm w" + std::to_string(number)).Done())
        return false;
    }
    return true;
  });
}

inline bool Troubled() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace stage

#endif  // REVIEW_STAGE_2_STAGE_H_
