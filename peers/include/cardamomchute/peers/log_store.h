/// A control member's data folder: identity, term and vote, snapshot, log.
///
/// Whatever a call returns Ok for is synced. A torn write at the log's end is
/// cut off when the folder is opened; anything else that fails its checksum
/// refuses to open (kCorrupt), since a member that forgot part of its log must
/// not vote.
#ifndef CARDAMOMCHUTE_PEERS_LOG_STORE_H_
#define CARDAMOMCHUTE_PEERS_LOG_STORE_H_

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/policy/quorum.h"

namespace cardamomchute {

/// One open data folder. Lives on the control thread; calls block for a sync.
class LogStore {
 public:
  /// Opens the folder of `vm`, or creates it with a new incarnation. A folder
  /// that another process holds is refused (kUnavailable).
  static Result<std::unique_ptr<LogStore>> Open(std::filesystem::path folder,
                                                const VmId& vm);
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  const MemberId& self() const { return self_; }
  /// What the folder held when it was opened; may be taken once.
  StoredQuorum TakeStored() { return std::move(stored_); }

  Status SaveVote(const TermAndVote& vote);
  /// Appends entries as one record. An index that exists replaces the tail.
  Status Append(const std::vector<LogEntry>& entries);
  /// Replaces the snapshot, and the log by `kept`.
  Status SaveSnapshot(const QuorumSnapshot& snapshot,
                      const std::vector<LogEntry>& kept);
  uint64_t log_bytes() const { return log_bytes_; }

 private:
  LogStore(std::filesystem::path folder, int lock_fd);

  Status Load(const VmId& vm);
  Status Create(const VmId& vm);
  Status LoadLog();
  Status OpenLog();
  Status ReplayRecord(std::string_view payload, uint64_t offset);
  Status DropCompactedEntries();
  Status ReplaceFile(const std::string& name, std::string_view payload);
  Result<std::string> ReadFile(const std::string& name) const;
  Error IoError(const std::string& what) const;
  Error CorruptError(const std::string& file, uint64_t offset) const;

  std::filesystem::path folder_;
  int lock_fd_ = -1;
  int log_fd_ = -1;
  uint64_t log_bytes_ = 0;
  bool failed_ = false;
  MemberId self_;
  StoredQuorum stored_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_LOG_STORE_H_
