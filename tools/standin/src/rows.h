/// Rows and their description as protocol messages.
#ifndef CARDAMOMCHUTE_STANDIN_ROWS_H_
#define CARDAMOMCHUTE_STANDIN_ROWS_H_

#include <string>
#include <vector>

#include "execution.h"

namespace cardamomchute::standin {

std::string RowDescription(const std::vector<ResultColumn>& columns);
std::string DataRow(const Row& row);

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_ROWS_H_
