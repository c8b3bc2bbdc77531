/// A stand-in for one database group: a primary and replicas that speak the
/// line protocol, announce themselves and obey promote orders. It follows the
/// users' page on members; where that is silent it behaves like a sound server.
#ifndef CARDAMOMCHUTE_REVIEW_COMMON_GROUP_H_
#define CARDAMOMCHUTE_REVIEW_COMMON_GROUP_H_

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net.h"
#include "record.h"

namespace review {

struct Write {
  std::string id;  ///< of the statement that wrote it
  std::string item;
  std::string data;
};

struct Commit {
  uint64_t term = 0;
  uint64_t number = 0;
  std::string id;  ///< of the statement that committed
  std::vector<Write> writes;
  int64_t received_ms = 0;
};

/// A statement with a client's id, as it reached a member.
struct RunStatement {
  std::string member;
  std::string id;
  std::string text;
  uint64_t connection = 0;
  uint64_t transaction = 0;  ///< 0: none open
};

struct GroupSettings {
  std::string name;
  size_t members = 3;
  std::string host;  ///< loopback address of all members
  std::string zone = "a";
  int slots = 2;
  int queue = 64;  ///< statements that wait for a slot; more get BUSY
  int max_connections = 64;
  int64_t work_ms = 5;   ///< of a read, write or commit
  int64_t reply_ms = 0;  ///< before each answer
  int64_t lag_ms = 20;   ///< from receiving a commit to applying it
};

class Group {
 public:
  Group(GroupSettings settings, Record* record);
  ~Group();
  bool Start();
  void Stop();

  std::string IdOf(size_t i) const;
  Address AddressOf(size_t i) const;
  const std::string& name() const { return settings_.name; }
  int64_t BornOf(size_t i) const;

  /// Sends a heartbeat of member i to the first of `nodes` that accepts it.
  bool Beat(size_t i, const std::vector<Address>& nodes);
  /// The platform's part: member `id` leads the next term.
  bool Promote(const std::string& id);
  /// The member's process ends: connections close, nothing answers.
  void Crash(size_t i);
  /// The member receives nothing while true.
  void SetDeaf(size_t i, bool deaf);
  void SetWork(int64_t ms) { work_ms_ = ms; }
  void SetReply(int64_t ms) { reply_ms_ = ms; }
  /// Holds all answers back while true, as a cut link does; they arrive once it
  /// heals.
  void SetCut(bool cut);

  std::vector<RunStatement> Runs() const;
  /// The commits in the log of the member that leads now.
  std::vector<Commit> Log() const;
  size_t LeaderIndex() const;
  size_t ConnectionsOf(size_t i) const;
  /// Runs when a statement reaches a member, before it is executed.
  std::function<void(const std::string& member, const std::string& id,
                     const std::string& text)>
      on_statement;

 private:
  struct Member {
    std::string id;
    Address address;
    int listener = -1;
    bool primary = false;
    bool crashed = false;
    bool deaf = false;
    uint64_t term = 1;
    uint64_t paused_below = 0;
    std::vector<Commit> log;
    int busy = 0;
    int waiting = 0;
    size_t connections = 0;
    std::set<int> sockets;
    uint64_t sequence = 0;
    int64_t born = 0;
  };
  struct Session {
    uint64_t number = 0;
    char state = 'I';
    bool plain = false;
    uint64_t transaction = 0;
    uint64_t term = 0;  ///< of the member when a plain transaction began
    std::vector<Write> writes;
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared;  ///< name to mode
  };

  void AcceptLoop(Member* member);
  void Serve(Member* member, int socket);
  std::string Execute(Member* member, Session* session, const std::string& id,
                      std::string text);
  std::string RunText(Member* member, Session* session, const std::string& id,
                      std::string text);
  std::string Append(Member* member, const std::string& id,
                     std::vector<Write> writes,
                     std::unique_lock<std::mutex>* lock);
  bool TakeSlot(Member* member);
  void FreeSlot(Member* member);
  std::string Position(const Member& member) const;
  std::string Status(const Member& member) const;
  uint64_t Applied(const Member& member) const;
  std::string Fail(Session* session, const std::string& code) const;

  GroupSettings settings_;
  Record* record_;
  std::atomic<int64_t> work_ms_;
  std::atomic<int64_t> reply_ms_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::thread> threads_;
  std::vector<RunStatement> runs_;
  uint64_t next_session_ = 0;
  uint64_t next_transaction_ = 0;
  uint64_t term_ = 1;
  bool stopped_ = false;
  bool cut_ = false;
};

}  // namespace review

#endif  // CARDAMOMCHUTE_REVIEW_COMMON_GROUP_H_
