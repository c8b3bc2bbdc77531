/// Files of a data folder, read whole and written durably.
#ifndef CARDAMOMCHUTE_PEERS_SRC_FILE_IO_H_
#define CARDAMOMCHUTE_PEERS_SRC_FILE_IO_H_

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomchute {

inline constexpr int kFileMode = 0640;

bool WriteAll(int fd, std::string_view bytes);
/// Makes created, renamed and removed names durable.
bool SyncFolder(const std::filesystem::path& folder);
bool WriteSynced(const std::filesystem::path& path, std::string_view bytes);
/// Nothing if the file cannot be read.
std::optional<std::string> ReadAll(const std::filesystem::path& path);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_SRC_FILE_IO_H_
