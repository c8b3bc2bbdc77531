/// Reads and durably writes files of a data folder.
#ifndef CARDAMOMCHUTE_PEERS_SRC_FILE_IO_H_
#define CARDAMOMCHUTE_PEERS_SRC_FILE_IO_H_

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomchute {

inline constexpr int kFileMode = 0640;

/// The functions that return bool set errno and return false on failure.
bool WriteAll(int fd, std::string_view bytes);
/// Syncs the folder, which makes created, renamed and removed entries durable.
bool SyncFolder(const std::filesystem::path& folder);
bool WriteSynced(const std::filesystem::path& path, std::string_view bytes);
/// Returns nullopt if the file cannot be opened.
std::optional<std::string> ReadAll(const std::filesystem::path& path);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_SRC_FILE_IO_H_
