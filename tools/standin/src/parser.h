/// Parses SQL text into statements.
#ifndef CARDAMOMCHUTE_STANDIN_PARSER_H_
#define CARDAMOMCHUTE_STANDIN_PARSER_H_

#include <string_view>
#include <vector>

#include "ast.h"

namespace cardamomchute::standin {

/// All statements of `sql`, separated by ';'. 42601: not SQL as the stand-in
/// knows it; 0A000: SQL that it knows of and does not run.
SqlResult<std::vector<StatementPtr>> Parse(std::string_view sql);

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_PARSER_H_
