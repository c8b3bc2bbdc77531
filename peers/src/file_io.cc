#include "file_io.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <sstream>

namespace cardamomchute {

namespace fs = std::filesystem;

bool WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t count = ::write(fd, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return false;
    bytes.remove_prefix(static_cast<size_t>(count));
  }
  return true;
}

bool SyncFolder(const fs::path& folder) {
  int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return false;
  bool synced = ::fsync(fd) == 0;
  ::close(fd);
  return synced;
}

bool WriteSynced(const fs::path& path, std::string_view bytes) {
  int fd =
      ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (fd < 0) return false;
  bool synced = WriteAll(fd, bytes) && ::fsync(fd) == 0;
  int error = errno;
  ::close(fd);
  errno = error;
  return synced;
}

std::optional<std::string> ReadAll(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  std::ostringstream text;
  text << in.rdbuf();
  return std::move(text).str();
}

}  // namespace cardamomchute
