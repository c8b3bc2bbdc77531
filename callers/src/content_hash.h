/// Short names for contents that sessions share on pooled connections. They
/// must hold against a caller who looks for collisions, so SHA-256 makes them.
#ifndef CARDAMOMCHUTE_CALLERS_SRC_CONTENT_HASH_H_
#define CARDAMOMCHUTE_CALLERS_SRC_CONTENT_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomchute {

/// The first 64 bits of the SHA-256 of `content`, never zero.
uint64_t ContentHash(std::string_view content);

/// Hash of a session's setup; zero when it is empty.
uint64_t SetupHash(const std::vector<std::string>& setup);

/// What pooled connections call a prepared statement of that content:
/// "cc_" and 16 hexadecimal digits.
std::string SharedStatementName(std::string_view content);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_CALLERS_SRC_CONTENT_HASH_H_
