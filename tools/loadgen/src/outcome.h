/// What an answer says of an operation's fate.
#ifndef CARDAMOMCHUTE_LOADGEN_OUTCOME_H_
#define CARDAMOMCHUTE_LOADGEN_OUTCOME_H_

#include "cardamomchute/loadgen_history/history.h"
#include "pg_client.h"

namespace cardamomchute::loadgen {

/// Of a statement that stands alone, or of a COMMIT.
history::Outcome OutcomeOf(const Answer& answer);

/// SQLSTATE of the error, "lost" without an answer, or empty.
std::string StateOf(const Answer& answer);

}  // namespace cardamomchute::loadgen

#endif  // CARDAMOMCHUTE_LOADGEN_OUTCOME_H_
