/// Parses the statements on transactions, settings and prepared statements.
#ifndef CARDAMOMCHUTE_STANDIN_PARSE_SESSION_H_
#define CARDAMOMCHUTE_STANDIN_PARSE_SESSION_H_

#include "ast.h"
#include "token_cursor.h"

namespace cardamomchute::standin {

/// False, with nothing taken, when it begins with none of them.
bool ParseSession(TokenCursor* cursor, Statement* out);

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_PARSE_SESSION_H_
