/// Checksummed, length-prefixed records of the data folder.
#ifndef CARDAMOMCHUTE_PEERS_SRC_RECORD_H_
#define CARDAMOMCHUTE_PEERS_SRC_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomchute {

/// Magic, payload length, XXH64 of both; little-endian.
inline constexpr size_t kRecordHeaderBytes = 16;

std::string EncodeRecord(std::string_view payload);

/// The payload of the record at the start of `bytes`; nothing if it is not
/// whole.
std::optional<std::string_view> DecodeRecord(std::string_view bytes);

/// The first offset after `from` where a whole record begins, if any.
std::optional<size_t> FindRecord(std::string_view bytes, size_t from);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_SRC_RECORD_H_
