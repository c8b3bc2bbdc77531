/// SQL functions that depend on their arguments and the time only.
#ifndef CARDAMOMCHUTE_STANDIN_FUNCTIONS_H_
#define CARDAMOMCHUTE_STANDIN_FUNCTIONS_H_

#include <optional>
#include <string>
#include <vector>

#include "value.h"

namespace cardamomchute::standin {

/// Nothing when there is no function of that name here.
std::optional<SqlResult<Value>> CallPure(const std::string& name,
                                         const std::vector<Value>& args);

/// The type that function `name` returns, wherever it is defined.
ValueType ReturnTypeOf(const std::string& name);

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_FUNCTIONS_H_
