/// A check of JSON from outside, before it is parsed.
#ifndef CARDAMOMCHUTE_BASE_JSON_NESTING_H_
#define CARDAMOMCHUTE_BASE_JSON_NESTING_H_

#include <cstddef>
#include <string_view>

namespace cardamomchute {

/// Far beyond any document that is read. Each level of a nested document costs
/// some hundred bytes of memory while it is parsed.
inline constexpr size_t kMaxJsonNesting = 64;

/// Returns whether arrays and objects are nested within kMaxJsonNesting.
bool NestedWithinLimit(std::string_view json);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_BASE_JSON_NESTING_H_
