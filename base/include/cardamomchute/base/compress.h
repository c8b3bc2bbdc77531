/// Compression of messages for narrow links, by zlib.
#ifndef CARDAMOMCHUTE_BASE_COMPRESS_H_
#define CARDAMOMCHUTE_BASE_COMPRESS_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "cardamomchute/base/error.h"

namespace cardamomchute {

/// Returns `bytes` compressed, fast rather than small.
std::string Compress(std::string_view bytes);

/// Returns what was compressed; kProtocol if the bytes are damaged or hold more
/// than `limit` bytes.
Result<std::string> Decompress(std::string_view bytes, size_t limit);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_BASE_COMPRESS_H_
