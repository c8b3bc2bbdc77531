#include "cardamomchute/policy/classify.h"

namespace cardamomchute {

SqlClass Classify(std::string_view sql) { return SqlClass{}; }

std::vector<SqlPart> ClassifyParts(std::string_view sql) {
  return {SqlPart{Classify(sql), std::string(sql)}};
}

}  // namespace cardamomchute
