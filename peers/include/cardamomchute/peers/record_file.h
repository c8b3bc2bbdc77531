/// A small file that holds one checksummed record, replaced as a whole.
#ifndef CARDAMOMCHUTE_PEERS_RECORD_FILE_H_
#define CARDAMOMCHUTE_PEERS_RECORD_FILE_H_

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

#include "cardamomchute/base/error.h"

namespace cardamomchute {

/// The payload; nothing if there is no whole record.
std::optional<std::string> ReadRecordFile(const std::filesystem::path& path);

/// Ok: the new payload is synced, and the old one is replaced.
Status WriteRecordFile(const std::filesystem::path& path,
                       std::string_view payload);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_RECORD_FILE_H_
