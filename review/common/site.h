/// A small deployment on loopback addresses: stewards and relays as separate
/// processes with the command of the deploy file, a group of members, and the
/// platform's promote call.
#ifndef CARDAMOMCHUTE_REVIEW_COMMON_SITE_H_
#define CARDAMOMCHUTE_REVIEW_COMMON_SITE_H_

#include <sys/types.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "group.h"
#include "net.h"
#include "record.h"

namespace review {

/// Exit codes of a case.
enum Verdict { kHeld = 0, kBroken = 1, kCannotRun = 2 };

/// False for TROUBLE=0: the case runs without its disruption.
bool Trouble();

/// One process of the system.
class Daemon {
 public:
  Daemon(std::string name, std::string settings_file, std::string log_file,
         uint64_t memory_limit_bytes, uint64_t descriptors);
  ~Daemon();
  bool Start();
  void Signal(int signal);
  void Kill();
  /// Returns true once the process has ended by itself or by a signal.
  bool Ended(int timeout_ms);
  const std::string& name() const { return name_; }
  const std::string& log_file() const { return log_file_; }
  /// "exit N" or "signal N" of the last end.
  const std::string& end() const { return end_; }
  pid_t pid() const { return pid_; }

 private:
  std::string name_;
  std::string settings_file_;
  std::string log_file_;
  uint64_t memory_limit_bytes_;
  uint64_t descriptors_;
  pid_t pid_ = -1;
  std::string end_;
};

struct SiteSettings {
  size_t stewards = 3;
  size_t relays = 2;
  GroupSettings group;
  std::string database = "db1";
  std::string route_type = "primary";
  int timeout_ms = 1500;
  int grace_s = 6;
  int heartbeat_ms = 1200;
  /// Address space of a relay; 0: no limit.
  uint64_t relay_memory_bytes = 0;
  /// File descriptors of a relay; 0: as the machine has it.
  uint64_t relay_descriptors = 0;
  /// Whether `Start` sends a read of its own through the first relay.
  bool probe = true;
};

class Site {
 public:
  Site(SiteSettings settings, Record* record);
  ~Site();
  /// Starts everything and waits until all relays are ready; false: cannot run.
  bool Start();
  void Stop();

  Group& group() { return *group_; }
  Daemon& steward(size_t i) { return *stewards_[i]; }
  Daemon& relay(size_t i) { return *relays_[i]; }
  Address CallersOf(size_t relay) const;
  Address PeersOf(size_t relay) const;
  std::vector<Address> ControlAddresses() const;
  /// An address of this deployment at which nothing listens.
  std::string UnusedAddress() const;
  bool Ready(size_t relay) const;
  /// Waits until a relay says that it is ready, and then `settle_ms`.
  bool WaitUntilServing(size_t relay, int64_t settle_ms);
  /// Calls one control address after another; true once one accepts.
  bool Beat(const std::string& id, const std::string& body);
  bool PutConfiguration(uint64_t version);

 private:
  std::string Host(size_t i) const;
  void WriteSettings(const std::string& kind, size_t index, size_t host);
  bool StartPlatform();

  SiteSettings settings_;
  Record* record_;
  std::string folder_;
  std::string net_;  ///< first three bytes of all addresses
  uint16_t peers_port_ = 0;
  uint16_t control_port_ = 0;
  uint16_t ready_port_ = 0;
  uint16_t callers_port_ = 0;
  Address platform_;
  int platform_listener_ = -1;
  std::unique_ptr<Group> group_;
  std::vector<std::unique_ptr<Daemon>> stewards_;
  std::vector<std::unique_ptr<Daemon>> relays_;
  std::vector<std::thread> threads_;
  std::atomic<bool> running_{true};
};

/// A client with one connection; one request at a time.
class Client {
 public:
  struct Answer {
    bool complete = false;  ///< READY came
    bool ended = false;     ///< the connection ended before that
    std::vector<std::string> rows;
    std::string result;  ///< "DONE ..." or "ERR ..."
    std::string ready;
    bool done() const { return complete && result.starts_with("DONE"); }
  };

  Client(std::string name, Record* record)
      : name_(std::move(name)), record_(record) {}
  ~Client() { Close(); }
  bool Connect(const Address& to, const std::string& database);
  Answer Query(const std::string& id, const std::string& text,
               int timeout_ms = 3000);
  /// Sends without waiting for an answer.
  bool Send(const std::string& id, const std::string& text);
  Answer Receive(const std::string& id, int timeout_ms);
  void Close();
  bool open() const { return socket_ >= 0; }

 private:
  std::string name_;
  Record* record_;
  int socket_ = -1;
  std::unique_ptr<LineReader> reader_;
};

}  // namespace review

#endif  // CARDAMOMCHUTE_REVIEW_COMMON_SITE_H_
