/// INSERT, UPDATE and DELETE within a transaction.
#ifndef CARDAMOMCHUTE_STANDIN_MODIFY_H_
#define CARDAMOMCHUTE_STANDIN_MODIFY_H_

#include <optional>
#include <string>
#include <vector>

#include "ast.h"
#include "member.h"
#include "select.h"

namespace cardamomchute::standin {

/// A row that another transaction has locked.
struct BlockedRow {
  std::string table;
  std::string key;
};

struct ModifyContext {
  const RunContext* run = nullptr;
  Member* member = nullptr;
  Overlay* overlay = nullptr;
  TransactionId transaction = 0;
};

/// Either nothing was changed and `blocked` tells which lock to wait for
/// before trying again, or all was done.
struct ModifyOutcome {
  std::optional<BlockedRow> blocked;
  uint64_t count = 0;
  std::vector<Row> returned;
};

SqlResult<ModifyOutcome> TryInsert(const ModifyContext& context,
                                   const Insert& insert,
                                   const StatementPtr& statement);
SqlResult<ModifyOutcome> TryUpdate(const ModifyContext& context,
                                   const Update& update);
SqlResult<ModifyOutcome> TryDelete(const ModifyContext& context,
                                   const Delete& del);

/// Locks the rows that a SELECT ... FOR UPDATE will return.
SqlResult<ModifyOutcome> TryLockRows(const ModifyContext& context,
                                     const Select& select);

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_MODIFY_H_
