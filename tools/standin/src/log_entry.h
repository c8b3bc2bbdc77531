/// The replicated log of a group: commits in order, and the terms they
/// belong to.
#ifndef CARDAMOMCHUTE_STANDIN_LOG_ENTRY_H_
#define CARDAMOMCHUTE_STANDIN_LOG_ENTRY_H_

#include <memory>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/pack.h"
#include "store.h"

namespace cardamomchute::standin {

/// One committed transaction. It takes the positions from `start` to `end`.
struct LogEntry {
  Term term;
  Position start;
  Position end;
  std::vector<Change> changes;
  MSGPACK_DEFINE(term, start, end, changes)
};

using LogEntryPtr = std::shared_ptr<const LogEntry>;

/// Where a term began.
struct TermStart {
  Term term;
  Position start;
  MSGPACK_DEFINE(term, start)

  friend bool operator==(const TermStart&, const TermStart&) = default;
};

using Timeline = std::vector<TermStart>;

/// The last position that two logs have in common. Each is told by its
/// timeline (oldest term first) and its end.
Position CommonEnd(const Timeline& a, Position a_end, const Timeline& b,
                   Position b_end);

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_LOG_ENTRY_H_
