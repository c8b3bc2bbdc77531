#include "record.h"

#include <xxhash.h>

#include <boost/endian/conversion.hpp>

namespace cardamomchute {
namespace {

constexpr uint32_t kMagic = 0x63637231;  // "ccr1"
constexpr size_t kLengthAt = 4;
constexpr size_t kChecksumAt = 8;

unsigned char* Bytes(std::string& text) {
  return reinterpret_cast<unsigned char*>(text.data());
}

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

/// Checksum of the payload. The seed includes the length, so that the checksum
/// covers it, too.
uint64_t Checksum(std::string_view payload) {
  return XXH64(payload.data(), payload.size(), payload.size() ^ kMagic);
}

}  // namespace

std::string EncodeRecord(std::string_view payload) {
  std::string record(kRecordHeaderBytes, '\0');
  boost::endian::store_little_u32(Bytes(record), kMagic);
  boost::endian::store_little_u32(Bytes(record) + kLengthAt,
                                  static_cast<uint32_t>(payload.size()));
  boost::endian::store_little_u64(Bytes(record) + kChecksumAt,
                                  Checksum(payload));
  record += payload;
  return record;
}

std::optional<std::string_view> DecodeRecord(std::string_view bytes) {
  if (bytes.size() < kRecordHeaderBytes) return std::nullopt;
  if (boost::endian::load_little_u32(Bytes(bytes)) != kMagic) {
    return std::nullopt;
  }
  size_t length = boost::endian::load_little_u32(Bytes(bytes) + kLengthAt);
  if (bytes.size() - kRecordHeaderBytes < length) return std::nullopt;
  std::string_view payload = bytes.substr(kRecordHeaderBytes, length);
  uint64_t expected =
      boost::endian::load_little_u64(Bytes(bytes) + kChecksumAt);
  if (Checksum(payload) != expected) return std::nullopt;
  return payload;
}

std::optional<size_t> FindRecord(std::string_view bytes, size_t from) {
  std::string magic(sizeof kMagic, '\0');
  boost::endian::store_little_u32(Bytes(magic), kMagic);
  size_t at = bytes.find(magic, from + 1);
  while (at != std::string_view::npos) {
    if (DecodeRecord(bytes.substr(at))) return at;
    at = bytes.find(magic, at + 1);
  }
  return std::nullopt;
}

}  // namespace cardamomchute
