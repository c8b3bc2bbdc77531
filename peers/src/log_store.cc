#include "cardamomchute/peers/log_store.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <random>
#include <sstream>

#include "cardamomchute/peers/record_file.h"
#include "file_io.h"
#include "record.h"

namespace cardamomchute {
namespace {

namespace fs = std::filesystem;

constexpr char kLockFile[] = "lock";
constexpr char kIdentityFile[] = "identity";
constexpr char kVoteFile[] = "vote";
constexpr char kSnapshotFile[] = "snapshot";
constexpr char kLogFile[] = "log";

struct Identity {
  VmId vm;
  std::string incarnation;
  MSGPACK_DEFINE(vm, incarnation)
};

std::string NewIncarnation() {
  std::random_device device;
  std::ostringstream text;
  text << std::hex << device() << device();
  return text.str();
}

MemberId MakeMemberId(const Identity& identity) {
  return MemberId(identity.vm.value() + "#" + identity.incarnation);
}

}  // namespace

LogStore::LogStore(fs::path folder, int lock_fd)
    : folder_(std::move(folder)), lock_fd_(lock_fd) {}

LogStore::~LogStore() {
  if (log_fd_ >= 0) ::close(log_fd_);
  ::close(lock_fd_);
}

Error LogStore::IoError(const std::string& what) const {
  return Error{ErrorKind::kIo,
               what + " in " + folder_.string() + ": " + std::strerror(errno),
               "check the data folder's disk, free space and permissions; the "
               "member tries again by itself"};
}

Error LogStore::CorruptError(const std::string& file, uint64_t offset) const {
  return Error{ErrorKind::kCorrupt,
               (folder_ / file).string() + " is corrupt at byte " +
                   std::to_string(offset),
               "replace this member: move its data folder away and start it "
               "with an empty one; it votes again once it has caught up"};
}

Result<std::unique_ptr<LogStore>> LogStore::Open(fs::path folder,
                                                 const VmId& vm) {
  std::error_code ignored;
  fs::create_directories(folder, ignored);
  int lock_fd = ::open((folder / kLockFile).c_str(),
                       O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock_fd < 0) {
    return Error{ErrorKind::kIo,
                 "cannot open the data folder " + folder.string() + ": " +
                     std::strerror(errno),
                 "create it and give the daemon's user write permission"};
  }
  if (::flock(lock_fd, LOCK_EX | LOCK_NB) != 0) {
    ::close(lock_fd);
    return Error{ErrorKind::kUnavailable,
                 "another process holds the data folder " + folder.string(),
                 "stop that process, or set another member.data_folder"};
  }
  std::unique_ptr<LogStore> store(new LogStore(std::move(folder), lock_fd));
  BOOST_OUTCOME_TRY(store->Load(vm));
  return store;
}

Status LogStore::Load(const VmId& vm) {
  if (!fs::exists(folder_ / kIdentityFile)) {
    BOOST_OUTCOME_TRY(Create(vm));
  }
  BOOST_OUTCOME_TRY(bytes, ReadFile(kIdentityFile));
  BOOST_OUTCOME_TRY(identity, Unpack<Identity>(bytes));
  if (identity.vm != vm) {
    return Error{ErrorKind::kInvalidInput,
                 folder_.string() + " belongs to member " +
                     identity.vm.value() + ", not to " + vm.value(),
                 "set member.data_folder to this VM's own folder"};
  }
  self_ = MakeMemberId(identity);
  BOOST_OUTCOME_TRY(vote, ReadFile(kVoteFile));
  BOOST_OUTCOME_TRY(unpacked_vote, Unpack<TermAndVote>(vote));
  stored_.vote = unpacked_vote;
  if (fs::exists(folder_ / kSnapshotFile)) {
    BOOST_OUTCOME_TRY(snapshot, ReadFile(kSnapshotFile));
    BOOST_OUTCOME_TRY(unpacked_snapshot, Unpack<QuorumSnapshot>(snapshot));
    stored_.snapshot = std::move(unpacked_snapshot);
  }
  BOOST_OUTCOME_TRY(LoadLog());
  BOOST_OUTCOME_TRY(DropCompactedEntries());
  return OpenLog();
}

Status LogStore::Create(const VmId& vm) {
  // The identity is written last: a folder without it is not initialized.
  bool leftover = fs::exists(folder_ / kSnapshotFile);
  std::error_code ignored;
  if (fs::exists(folder_ / kLogFile) &&
      fs::file_size(folder_ / kLogFile, ignored) > 0) {
    leftover = true;
  }
  if (leftover) return CorruptError(kIdentityFile, 0);
  BOOST_OUTCOME_TRY(ReplaceFile(kVoteFile, Pack(TermAndVote())));
  if (!WriteSynced(folder_ / kLogFile, "")) return IoError("create log");
  return ReplaceFile(kIdentityFile, Pack(Identity{vm, NewIncarnation()}));
}

Result<std::string> LogStore::ReadFile(const std::string& name) const {
  std::optional<std::string> payload = ReadRecordFile(folder_ / name);
  if (!payload) return CorruptError(name, 0);
  return std::move(*payload);
}

Status LogStore::ReplaceFile(const std::string& name,
                             std::string_view payload) {
  return WriteRecordFile(folder_ / name, payload);
}

Status LogStore::LoadLog() {
  std::optional<std::string> bytes = ReadAll(folder_ / kLogFile);
  if (!bytes) return CorruptError(kLogFile, 0);
  std::string_view rest(*bytes);
  uint64_t offset = 0;
  while (!rest.empty()) {
    std::optional<std::string_view> payload = DecodeRecord(rest);
    if (!payload) break;
    BOOST_OUTCOME_TRY(ReplayRecord(*payload, offset));
    offset += kRecordHeaderBytes + payload->size();
    rest.remove_prefix(kRecordHeaderBytes + payload->size());
  }
  // A record is written only after the previous one was synced, so damage
  // before a valid record is corruption and not a torn write.
  if (!rest.empty() && FindRecord(rest, 0))
    return CorruptError(kLogFile, offset);
  log_bytes_ = offset;
  return Ok();
}

Status LogStore::ReplayRecord(std::string_view payload, uint64_t offset) {
  Result<std::vector<LogEntry>> entries =
      Unpack<std::vector<LogEntry>>(payload);
  if (!entries) return CorruptError(kLogFile, offset);
  std::vector<LogEntry>& log = stored_.entries;
  for (LogEntry& entry : entries.value()) {
    while (!log.empty() && log.back().index >= entry.index) log.pop_back();
    bool gap = !log.empty() && log.back().index.Next() != entry.index;
    if (gap) return CorruptError(kLogFile, offset);
    log.push_back(std::move(entry));
  }
  return Ok();
}

/// Drops the entries that the snapshot includes, and the whole log if its entry
/// at the snapshot's last index has another term.
Status LogStore::DropCompactedEntries() {
  const QuorumSnapshot& snapshot = stored_.snapshot;
  std::vector<LogEntry>& log = stored_.entries;
  bool conflict = false;
  auto keep = log.begin();
  for (; keep != log.end() && keep->index <= snapshot.last_index; ++keep) {
    conflict =
        keep->index == snapshot.last_index && keep->term != snapshot.last_term;
  }
  log.erase(log.begin(), keep);
  bool snapshot_lost =
      log_bytes_ > 0 && log.empty() && snapshot.last_index == LogIndex();
  if (snapshot_lost) return CorruptError(kSnapshotFile, 0);
  if (conflict) log.clear();
  bool gap = !log.empty() && log.front().index != snapshot.last_index.Next();
  if (gap) return CorruptError(kLogFile, 0);
  return Ok();
}

Status LogStore::OpenLog() {
  if (log_fd_ >= 0) ::close(log_fd_);
  log_fd_ =
      ::open((folder_ / kLogFile).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (log_fd_ < 0) return IoError("open log");
  if (::ftruncate(log_fd_, static_cast<off_t>(log_bytes_)) != 0) {
    return IoError("truncate log");
  }
  if (::fsync(log_fd_) != 0) return IoError("sync log");
  if (!SyncFolder(folder_)) return IoError("sync folder");
  log_uncertain_ = false;
  return Ok();
}

Status LogStore::SaveVote(const TermAndVote& vote) {
  return ReplaceFile(kVoteFile, Pack(vote));
}

Status LogStore::Append(const std::vector<LogEntry>& entries) {
  if (entries.empty()) return Ok();
  if (log_uncertain_) {
    BOOST_OUTCOME_TRY(OpenLog());
  }
  log_uncertain_ = true;
  std::string record = EncodeRecord(Pack(entries));
  if (!WriteAll(log_fd_, record)) return IoError("append to log");
  if (::fdatasync(log_fd_) != 0) return IoError("sync log");
  log_uncertain_ = false;
  log_bytes_ += record.size();
  return Ok();
}

Status LogStore::SaveSnapshot(const QuorumSnapshot& snapshot,
                              const std::vector<LogEntry>& kept) {
  BOOST_OUTCOME_TRY(ReplaceFile(kSnapshotFile, Pack(snapshot)));
  return ReplaceLog(kept);
}

Status LogStore::ReplaceLog(const std::vector<LogEntry>& kept) {
  std::string payload = Pack(kept);
  Status replaced = ReplaceFile(kLogFile, payload);
  // A failed replacement may have renamed the file, but not synced that.
  if (!replaced && LogIsOpenFile()) return replaced;
  log_bytes_ = kRecordHeaderBytes + payload.size();
  log_uncertain_ = true;
  if (!replaced) return replaced;
  return OpenLog();
}

/// Whether `log_fd_` is the file that now has the log's name.
bool LogStore::LogIsOpenFile() const {
  struct stat open_file {};
  struct stat named_file {};
  if (::fstat(log_fd_, &open_file) != 0) return false;
  if (::stat((folder_ / kLogFile).c_str(), &named_file) != 0) return false;
  return open_file.st_dev == named_file.st_dev &&
         open_file.st_ino == named_file.st_ino;
}

}  // namespace cardamomchute
