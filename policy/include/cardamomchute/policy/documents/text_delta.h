/// Difference between two texts that consist of many similar objects, such as
/// two versions of a layout. Pure functions without I/O.
#ifndef CARDAMOMCHUTE_POLICY_DOCUMENTS_TEXT_DELTA_H_
#define CARDAMOMCHUTE_POLICY_DOCUMENTS_TEXT_DELTA_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomchute/base/pack.h"

namespace cardamomchute {

/// `length` bytes of the old text from `offset`, followed by `added`.
struct TextDeltaPart {
  uint64_t offset = 0;
  uint64_t length = 0;
  std::string added;
  MSGPACK_DEFINE(offset, length, added)
};

struct TextDelta {
  std::vector<TextDeltaPart> parts;
  uint64_t size = 0;  ///< of the new text
  MSGPACK_DEFINE(parts, size)
};

/// Longer texts are refused: a short delta can ask for many copies of the old
/// text.
inline constexpr size_t kMaxDeltaTextBytes = 16 * 1024 * 1024;

/// Returns what turns `from` into `to`. Both are compared in pieces that end
/// with '}', so a piece may have moved.
TextDelta MakeTextDelta(std::string_view from, std::string_view to);

/// Returns the new text, or nothing if `delta` does not fit `from` or the text
/// is too long.
std::optional<std::string> ApplyTextDelta(std::string_view from,
                                          const TextDelta& delta);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_DOCUMENTS_TEXT_DELTA_H_
