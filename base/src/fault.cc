#include "cardamomchute/base/fault.h"

namespace cardamomchute {

std::string ToString(const Fault& fault) {
  std::string text;
  if (fault.line != 0) text += "line " + std::to_string(fault.line) + ": ";
  if (!fault.key.empty()) text += fault.key + ": ";
  text += fault.what;
  if (!fault.remedy.empty()) text += "; " + fault.remedy;
  return text;
}

}  // namespace cardamomchute
