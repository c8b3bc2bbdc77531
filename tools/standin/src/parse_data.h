/// Parses the statements that read and change tables.
#ifndef CARDAMOMCHUTE_STANDIN_PARSE_DATA_H_
#define CARDAMOMCHUTE_STANDIN_PARSE_DATA_H_

#include "ast.h"
#include "token_cursor.h"

namespace cardamomchute::standin {

/// False, with nothing taken, when it begins with none of them.
bool ParseData(TokenCursor* cursor, Statement* out);

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_PARSE_DATA_H_
