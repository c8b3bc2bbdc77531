#include "log_entry.h"

#include <algorithm>

namespace cardamomchute::standin {
namespace {

Position EndOfTerm(const Timeline& timeline, size_t index, Position log_end) {
  if (index + 1 >= timeline.size()) return log_end;
  return std::min(timeline[index + 1].start, log_end);
}

}  // namespace

Position CommonEnd(const Timeline& a, Position a_end, const Timeline& b,
                   Position b_end) {
  Position common;
  size_t terms = std::min(a.size(), b.size());
  for (size_t i = 0; i < terms && a[i] == b[i]; ++i) {
    common = std::min(EndOfTerm(a, i, a_end), EndOfTerm(b, i, b_end));
  }
  return common;
}

}  // namespace cardamomchute::standin
