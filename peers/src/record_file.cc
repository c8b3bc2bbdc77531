#include "cardamomchute/peers/record_file.h"

#include <cerrno>
#include <cstring>

#include "file_io.h"
#include "record.h"

namespace cardamomchute {
namespace {

namespace fs = std::filesystem;

Error IoError(const fs::path& path, const std::string& what) {
  return Error{ErrorKind::kIo,
               what + " " + path.string() + ": " + std::strerror(errno),
               "check the data folder's disk, free space and permissions; the "
               "member tries again by itself"};
}

}  // namespace

std::optional<std::string> ReadRecordFile(const fs::path& path) {
  std::optional<std::string> bytes = ReadAll(path);
  if (!bytes) return std::nullopt;
  std::optional<std::string_view> payload = DecodeRecord(*bytes);
  if (!payload) return std::nullopt;
  return std::string(*payload);
}

Status WriteRecordFile(const fs::path& path, std::string_view payload) {
  fs::path temporary = path;
  temporary += ".tmp";
  std::error_code error;
  if (!WriteSynced(temporary, EncodeRecord(payload))) {
    Error failure = IoError(path, "cannot write");
    // On a full disk, the part that was written takes up room.
    fs::remove(temporary, error);
    return failure;
  }
  fs::rename(temporary, path, error);
  if (error) return IoError(path, "cannot rename to");
  if (!SyncFolder(path.parent_path()))
    return IoError(path, "cannot sync folder of");
  return Ok();
}

}  // namespace cardamomchute
