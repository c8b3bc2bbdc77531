#include "site.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

namespace review {
namespace {

constexpr char kProgram[] = "target/bin/cardamomchuted";

/// A port that is free at a loopback address now.
uint16_t FreePort(const std::string& host) {
  int socket = Listen({host, 0});
  uint16_t port = PortOf(socket);
  ::close(socket);
  return port;
}

}  // namespace

bool Trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

Daemon::Daemon(std::string name, std::string settings_file,
               std::string log_file, uint64_t memory_limit_bytes,
               uint64_t descriptors)
    : name_(std::move(name)),
      settings_file_(std::move(settings_file)),
      log_file_(std::move(log_file)),
      memory_limit_bytes_(memory_limit_bytes),
      descriptors_(descriptors) {}

Daemon::~Daemon() { Kill(); }

bool Daemon::Start() {
  end_.clear();
  pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) return false;
  if (pid_ > 0) return true;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(3);
  int log = ::open(log_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  rlimit no_core = {0, 0};
  ::setrlimit(RLIMIT_CORE, &no_core);
  if (memory_limit_bytes_ > 0) {
    rlimit memory = {memory_limit_bytes_, memory_limit_bytes_};
    ::setrlimit(RLIMIT_AS, &memory);
  }
  if (descriptors_ > 0) {
    rlimit files = {descriptors_, descriptors_};
    ::setrlimit(RLIMIT_NOFILE, &files);
  }
  ::execl(kProgram, kProgram, "--config", settings_file_.c_str(),
          static_cast<char*>(nullptr));
  ::_exit(3);
}

void Daemon::Signal(int signal) {
  if (pid_ > 0) ::kill(pid_, signal);
}

void Daemon::Kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = -1;
  end_ = "signal 9";
}

bool Daemon::Ended(int timeout_ms) {
  int64_t until = NowMs() + timeout_ms;
  while (pid_ > 0) {
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      end_ = WIFSIGNALED(status)
                 ? "signal " + std::to_string(WTERMSIG(status))
                 : "exit " + std::to_string(WEXITSTATUS(status));
      return true;
    }
    if (NowMs() >= until) return false;
    SleepMs(10);
  }
  return true;
}

Site::Site(SiteSettings settings, Record* record)
    : settings_(std::move(settings)), record_(record) {
  std::random_device random;
  net_ = "127." + std::to_string(1 + random() % 250) + "." +
         std::to_string(random() % 250);
}

Site::~Site() { Stop(); }

std::string Site::Host(size_t i) const {
  return net_ + "." + std::to_string(11 + i);
}

bool Site::StartPlatform() {
  platform_listener_ = Listen({Host(100), 0});
  if (platform_listener_ < 0) return false;
  platform_ = {Host(100), PortOf(platform_listener_)};
  threads_.emplace_back([this] {
    std::vector<std::thread> calls;
    while (running_) {
      int socket =
          ::accept4(platform_listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) break;
      calls.emplace_back([this, socket] {
        ServeHttp(socket, [this](const std::string& path,
                                 const std::map<std::string, std::string>& head,
                                 const std::string& body) {
          auto token = head.find("X-Fence-Token");
          record_->Add("platform",
                       "called " + path + " " + body + " token " +
                           (token == head.end() ? "-" : token->second));
          if (path != "/promote") return 404;
          SleepMs(300);
          return group_->Promote(JsonText(body, "id")) ? 200 : 409;
        });
      });
    }
    for (std::thread& call : calls) call.join();
  });
  return true;
}

void Site::WriteSettings(const std::string& kind, size_t index, size_t host) {
  std::string name = kind + "-" + std::to_string(index);
  std::ofstream file(folder_ + "/" + name + ".toml");
  file << "kind = \"" << kind << "\"\nvm = \"" << name
       << "\"\nzone = \"a\"\nlog_level = \"info\"\nlink_mbps = 700.0\n\n"
       << "[listen]\npeers = \"" << Host(host) << ":" << peers_port_ << "\"\n";
  if (kind == "relay") {
    file << "callers = \"" << Host(host) << ":" << callers_port_
         << "\"\nready = \"" << Host(host) << ":" << ready_port_ << "\"\n";
  } else {
    file << "http = \"" << Host(host) << ":" << control_port_ << "\"\n";
  }
  file << "\n[control]\nseeds = [";
  for (size_t i = 0; i < settings_.stewards; ++i)
    file << (i > 0 ? "," : "") << "\"" << Host(i) << ":" << control_port_
         << "\"";
  file << "]\nmay_found = true\nfencing = true\n";
  if (kind == "steward")
    file << "data_folder = \"" << folder_ << "/data-" << index << "\"\n";
  file << "promote_at = \"" << ToString(platform_)
       << "\"\n\n[drain]\ngrace_s = " << settings_.grace_s << "\n";
}

bool Site::Start() {
  const char* base = std::getenv("TMPDIR");
  std::string folder = std::string(base ? base : "/tmp") + "/review-XXXXXX";
  if (::mkdtemp(folder.data()) == nullptr) return false;
  folder_ = folder;
  peers_port_ = FreePort(Host(0));
  control_port_ = FreePort(Host(0));
  ready_port_ = FreePort(Host(0));
  callers_port_ = FreePort(Host(0));
  settings_.group.host = Host(101);
  group_ = std::make_unique<Group>(settings_.group, record_);
  if (!group_->Start() || !StartPlatform()) return false;
  size_t host = 0;
  for (const std::string kind : {"steward", "relay"}) {
    bool steward = kind == "steward";
    size_t count = steward ? settings_.stewards : settings_.relays;
    for (size_t i = 0; i < count; ++i) {
      WriteSettings(kind, i, host++);
      std::string base = folder_ + "/" + kind + "-" + std::to_string(i);
      std::unique_ptr<Daemon> daemon = std::make_unique<Daemon>(
          kind + "-" + std::to_string(i), base + ".toml", base + ".log",
          steward ? 0 : settings_.relay_memory_bytes,
          steward ? 0 : settings_.relay_descriptors);
      if (!daemon->Start()) return false;
      (steward ? stewards_ : relays_).push_back(std::move(daemon));
    }
  }
  int64_t until = NowMs() + 20000;
  while (!PutConfiguration(1)) {
    if (NowMs() > until) return false;
    SleepMs(100);
  }
  for (size_t i = 0; i < settings_.group.members; ++i) {
    threads_.emplace_back([this, i] {
      std::vector<Address> nodes = ControlAddresses();
      while (running_) {
        group_->Beat(i, nodes);
        for (int waited = 0; running_ && waited < settings_.heartbeat_ms;
             waited += 50)
          SleepMs(50);
      }
    });
  }
  for (size_t i = 0; i < settings_.relays; ++i) {
    while (!Ready(i)) {
      if (NowMs() > until) return false;
      SleepMs(100);
    }
  }
  // Served end to end before the case begins.
  while (settings_.probe) {
    Client client("probe", record_);
    bool served = client.Connect(CallersOf(0), settings_.database) &&
                  client.Query("probe", "READ probe").done();
    if (served) break;
    if (NowMs() > until) return false;
    SleepMs(100);
  }
  SleepMs(1500);
  return true;
}

void Site::Stop() {
  if (folder_.empty()) return;
  running_ = false;
  relays_.clear();
  stewards_.clear();
  if (platform_listener_ >= 0) ::shutdown(platform_listener_, SHUT_RDWR);
  if (group_) group_->Stop();
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
  if (platform_listener_ >= 0) ::close(platform_listener_);
  const char* keep = std::getenv("KEEP_LOGS");
  std::error_code ignored;
  if (keep == nullptr) std::filesystem::remove_all(folder_, ignored);
  folder_.clear();
}

Address Site::CallersOf(size_t relay) const {
  return {Host(settings_.stewards + relay), callers_port_};
}

Address Site::PeersOf(size_t relay) const {
  return {Host(settings_.stewards + relay), peers_port_};
}

std::vector<Address> Site::ControlAddresses() const {
  std::vector<Address> addresses;
  for (size_t i = 0; i < settings_.stewards; ++i)
    addresses.push_back({Host(i), control_port_});
  return addresses;
}

bool Site::WaitUntilServing(size_t relay, int64_t settle_ms) {
  int64_t until = NowMs() + 10000;
  while (!Ready(relay)) {
    if (NowMs() > until) return false;
    SleepMs(50);
  }
  SleepMs(settle_ms);
  return true;
}

std::string Site::UnusedAddress() const { return Host(120) + ":8080"; }

bool Site::Ready(size_t relay) const {
  return Http({Host(settings_.stewards + relay), ready_port_}, "GET", "/ready",
              "", 500)
             .status == 200;
}

bool Site::Beat(const std::string& id, const std::string& body) {
  for (const Address& node : ControlAddresses()) {
    int status = Http(node, "POST", "/instances/" + id + "/beat", body).status;
    record_->Add("writer",
                 "beat " + id + " " + body + " -> " + std::to_string(status));
    if (status > 0 && status < 500) return status / 100 == 2;
  }
  return false;
}

bool Site::PutConfiguration(uint64_t version) {
  std::ostringstream body;
  body << "{\"version\":" << version << ",\"routes\":[{\"name\":\"r1\","
       << "\"host\":\"" << settings_.database
       << "\",\"pathPrefix\":\"/\",\"type\":\"" << settings_.route_type
       << "\",\"timeoutMs\":" << settings_.timeout_ms
       << ",\"sloMs\":200,\"prio\":0,\"service\":\"" << settings_.group.name
       << "\",\"attempts\":2,\"maxStalenessMs\":2500}],\"services\":[{"
       << "\"name\":\"" << settings_.group.name
       << "\",\"healthPath\":\"/health\",\"maxConns\":"
       << settings_.group.max_connections
       << ",\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":1}],"
       << "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":262144,"
       << "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,"
       << "\"txIdleMs\":3000}}";
  for (const Address& node : ControlAddresses()) {
    if (Http(node, "POST", "/config/put", body.str()).status == 200) {
      record_->Add("operator", "configuration " + std::to_string(version) +
                                   " acknowledged");
      return true;
    }
  }
  return false;
}

bool Client::Connect(const Address& to, const std::string& database) {
  Close();
  socket_ = review::Connect(to, 2000);
  if (socket_ < 0) return false;
  reader_ = std::make_unique<LineReader>(socket_);
  SendAll(socket_, "CONNECT " + database + " " + name_ + "\r\n");
  std::optional<std::string> line = reader_->Next(2000);
  if (line && line->starts_with("READY")) return true;
  Close();
  return false;
}

bool Client::Send(const std::string& id, const std::string& text) {
  record_->Add(name_, "sent " + id + " " + text);
  return SendAll(socket_, "QUERY " + id + " " + text + "\r\n");
}

Client::Answer Client::Receive(const std::string& id, int timeout_ms) {
  Answer answer;
  int64_t until = NowMs() + timeout_ms;
  while (true) {
    std::optional<std::string> line =
        reader_->Next(static_cast<int>(std::max<int64_t>(until - NowMs(), 1)));
    if (!line) {
      answer.ended = !reader_->timed_out();
      record_->Add(name_, answer.ended
                              ? "connection ended without an answer to " + id
                              : "no answer to " + id);
      return answer;
    }
    if (line->starts_with("ROW ")) {
      answer.rows.push_back(line->substr(4));
    } else if (line->starts_with("READY ")) {
      answer.ready = *line;
      answer.complete = true;
      record_->Add(
          name_,
          "answer to " + id + ": " +
              (answer.rows.empty() ? "" : "ROW " + answer.rows[0] + " ") +
              answer.result + " " + answer.ready);
      return answer;
    } else {
      answer.result = *line;
    }
  }
}

Client::Answer Client::Query(const std::string& id, const std::string& text,
                             int timeout_ms) {
  if (!Send(id, text)) {
    Answer answer;
    answer.ended = true;
    record_->Add(name_, "connection ended without an answer to " + id);
    return answer;
  }
  return Receive(id, timeout_ms);
}

void Client::Close() {
  CloseSocket(socket_);
  socket_ = -1;
}

}  // namespace review
