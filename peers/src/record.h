/// Checksummed, length-prefixed records in files of the data folder.
#ifndef CARDAMOMCHUTE_PEERS_SRC_RECORD_H_
#define CARDAMOMCHUTE_PEERS_SRC_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomchute {

/// A header holds a magic number (4 bytes), the payload length (4 bytes) and an
/// XXH64 checksum of length and payload (8 bytes), all little-endian.
inline constexpr size_t kRecordHeaderBytes = 16;

std::string EncodeRecord(std::string_view payload);

/// Returns the payload of the record at the start of `bytes`, or nullopt if the
/// record is truncated or corrupt.
std::optional<std::string_view> DecodeRecord(std::string_view bytes);

/// Returns the first offset after `from` at which a valid record starts.
std::optional<size_t> FindRecord(std::string_view bytes, size_t from);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_SRC_RECORD_H_
