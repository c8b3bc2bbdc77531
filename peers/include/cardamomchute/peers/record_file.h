/// A small file that holds one checksummed record and is replaced atomically.
#ifndef CARDAMOMCHUTE_PEERS_RECORD_FILE_H_
#define CARDAMOMCHUTE_PEERS_RECORD_FILE_H_

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

#include "cardamomchute/base/error.h"

namespace cardamomchute {

/// Returns the payload, or nullopt if the file is missing or its record is
/// truncated or corrupt.
std::optional<std::string> ReadRecordFile(const std::filesystem::path& path);

/// Replaces the file by a record of `payload`. On Ok the new record and the
/// folder entry are synced to disk; returns kIo on failure.
Status WriteRecordFile(const std::filesystem::path& path,
                       std::string_view payload);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_RECORD_FILE_H_
