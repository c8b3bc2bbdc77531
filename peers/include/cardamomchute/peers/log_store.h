/// The data folder of a control member: identity, term and vote, snapshot, log.
///
/// When a call returns Ok, its data is synced to disk. Opening the folder
/// truncates a torn write at the end of the log. Any other checksum failure
/// makes it fail with kCorrupt, since a member that lost part of its log must
/// not vote. A call that returns kIo has left what was synced before as it was;
/// it may be repeated once the disk takes writes again.
#ifndef CARDAMOMCHUTE_PEERS_LOG_STORE_H_
#define CARDAMOMCHUTE_PEERS_LOG_STORE_H_

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/policy/quorum/quorum.h"

namespace cardamomchute {

/// An open data folder. Used on the control thread; writes block until synced.
class LogStore {
 public:
  /// Opens the data folder of `vm`, or creates it with a new incarnation.
  /// Returns kUnavailable if another process has locked the folder,
  /// kInvalidInput if it belongs to another VM, kCorrupt or kIo.
  static Result<std::unique_ptr<LogStore>> Open(std::filesystem::path folder,
                                                const VmId& vm);
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  const MemberId& self() const { return self_; }
  /// Moves out the state that was loaded when the folder was opened; call once.
  StoredQuorum TakeStored() { return std::move(stored_); }

  Status SaveVote(const TermAndVote& vote);
  /// Appends entries as one record. An entry whose index is already in the log
  /// replaces the log from that index on.
  Status Append(const std::vector<LogEntry>& entries);
  /// Replaces the snapshot, and the log by the entries in `kept`.
  Status SaveSnapshot(const QuorumSnapshot& snapshot,
                      const std::vector<LogEntry>& kept);
  uint64_t log_bytes() const { return log_bytes_; }

 private:
  LogStore(std::filesystem::path folder, int lock_fd);

  Status Load(const VmId& vm);
  Status Create(const VmId& vm);
  Status LoadLog();
  Status OpenLog();
  Status ReplaceLog(const std::vector<LogEntry>& kept);
  bool LogIsOpenFile() const;
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
  /// The log file may hold a part of a record after `log_bytes_`, or `log_fd_`
  /// may be another file.
  bool log_uncertain_ = false;
  MemberId self_;
  StoredQuorum stored_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_LOG_STORE_H_
