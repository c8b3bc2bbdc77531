/// Parses expressions.
#ifndef CARDAMOMCHUTE_STANDIN_PARSE_EXPR_H_
#define CARDAMOMCHUTE_STANDIN_PARSE_EXPR_H_

#include <string>
#include <vector>

#include "ast.h"
#include "token_cursor.h"

namespace cardamomchute::standin {

/// Faults go into the cursor.
Expr ParseExpr(TokenCursor* cursor);

/// "(a, b, ...)", also empty.
std::vector<Expr> ParseExprList(TokenCursor* cursor);

/// name or schema.name.
std::string ParseTableName(TokenCursor* cursor);

/// A type's first word; skips "(n)", "[]" and further words of the type.
std::string ParseTypeName(TokenCursor* cursor);

/// The name that a result column of this expression gets.
std::string DefaultName(const Expr& expr);

/// The highest $n within.
uint32_t HighestParam(const Expr& expr);

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_PARSE_EXPR_H_
