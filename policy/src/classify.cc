#include "cardamomchute/policy/classify.h"

namespace cardamomchute {

SqlClass Classify(std::string_view sql) { return SqlClass{}; }

}  // namespace cardamomchute
