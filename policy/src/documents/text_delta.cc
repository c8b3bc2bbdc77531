#include "cardamomchute/policy/documents/text_delta.h"

#include <unordered_map>

namespace cardamomchute {
namespace {

std::vector<std::string_view> Split(std::string_view text) {
  std::vector<std::string_view> pieces;
  while (!text.empty()) {
    size_t end = text.find('}');
    size_t size = end == std::string_view::npos ? text.size() : end + 1;
    pieces.push_back(text.substr(0, size));
    text.remove_prefix(size);
  }
  return pieces;
}

}  // namespace

TextDelta MakeTextDelta(std::string_view from, std::string_view to) {
  std::unordered_map<std::string_view, uint64_t> offsets;
  for (std::string_view piece : Split(from))
    offsets.try_emplace(piece,
                        static_cast<uint64_t>(piece.data() - from.data()));
  TextDelta delta;
  delta.size = to.size();
  for (std::string_view piece : Split(to)) {
    auto known = offsets.find(piece);
    if (known == offsets.end()) {
      if (delta.parts.empty()) delta.parts.emplace_back();
      delta.parts.back().added += piece;
      continue;
    }
    bool follows =
        !delta.parts.empty() && delta.parts.back().added.empty() &&
        delta.parts.back().offset + delta.parts.back().length == known->second;
    if (!follows) delta.parts.push_back({known->second, 0, ""});
    delta.parts.back().length += piece.size();
  }
  return delta;
}

std::optional<std::string> ApplyTextDelta(std::string_view from,
                                          const TextDelta& delta) {
  if (delta.size > kMaxDeltaTextBytes) return std::nullopt;
  std::string text;
  for (const TextDeltaPart& part : delta.parts) {
    bool fits =
        part.offset <= from.size() && part.length <= from.size() - part.offset;
    if (!fits) return std::nullopt;
    text += from.substr(part.offset, part.length);
    text += part.added;
    if (text.size() > delta.size) return std::nullopt;
  }
  if (text.size() != delta.size) return std::nullopt;
  return text;
}

}  // namespace cardamomchute
