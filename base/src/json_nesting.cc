#include "cardamomchute/base/json_nesting.h"

namespace cardamomchute {

bool NestedWithinLimit(std::string_view json) {
  size_t depth = 0;
  bool quoted = false;
  for (size_t i = 0; i < json.size(); ++i) {
    char c = json[i];
    if (quoted && c == '\\') ++i;
    if (c == '"') quoted = !quoted;
    if (quoted) continue;
    if ((c == '[' || c == '{') && ++depth > kMaxJsonNesting) return false;
    if ((c == ']' || c == '}') && depth > 0) --depth;
  }
  return true;
}

}  // namespace cardamomchute
