/// What running a statement gives.
#ifndef CARDAMOMCHUTE_STANDIN_EXECUTION_H_
#define CARDAMOMCHUTE_STANDIN_EXECUTION_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "slots.h"
#include "value.h"

namespace cardamomchute::standin {

struct ResultColumn {
  std::string name;
  ValueType type = ValueType::kText;
};

/// Makes the next row; false at the end.
using RowSource = std::function<SqlResult<bool>(Row* row)>;

struct Execution {
  /// Absent for statements that return no rows.
  std::optional<std::vector<ResultColumn>> columns;
  RowSource rows;
  /// Command tag; a blank and the number of rows follow when `counted`.
  std::string tag;
  bool counted = false;
  /// Held while rows are made.
  std::optional<HeldSlot> slot;
};

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_EXECUTION_H_
