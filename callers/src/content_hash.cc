#include "content_hash.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <boost/endian/conversion.hpp>
#include <cinttypes>
#include <cstdio>

namespace cardamomchute {

uint64_t ContentHash(std::string_view content) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(content.data()), content.size(),
         digest.data());
  return std::max<uint64_t>(boost::endian::load_big_u64(digest.data()), 1);
}

uint64_t SetupHash(const std::vector<std::string>& setup) {
  if (setup.empty()) return 0;
  std::string content;
  for (const std::string& sql : setup) {
    content.append(sql);
    content.push_back('\0');
  }
  return ContentHash(content);
}

std::string SharedStatementName(std::string_view content) {
  char name[24];
  std::snprintf(name, sizeof name, "cc_%016" PRIx64, ContentHash(content));
  return name;
}

}  // namespace cardamomchute
