/// What one connection keeps between statements.
#ifndef CARDAMOMCHUTE_STANDIN_SESSION_STATE_H_
#define CARDAMOMCHUTE_STANDIN_SESSION_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "ast.h"
#include "locks.h"
#include "settings_map.h"
#include "store.h"
#include "waiter.h"

namespace cardamomchute::standin {

struct SavedPoint {
  std::string name;
  Overlay overlay;
  SettingsMap::Values settings;
  size_t locks = 0;  ///< held when it was set
};

struct Transaction {
  TransactionId id = 0;
  uint64_t reign = 0;  ///< Member::reign() at its start
  bool block = false;  ///< between BEGIN and COMMIT
  bool failed = false;
  bool read_only = false;
  Overlay overlay;
  std::vector<SavedPoint> savepoints;
  /// Settings at its start, for ROLLBACK.
  SettingsMap::Values settings_before;
  /// Settings as COMMIT leaves them: without SET LOCAL.
  SettingsMap::Values settings_after;
};

struct PreparedStatement {
  StatementPtr statement;  ///< null: an empty query
  uint32_t params = 0;
};

struct SessionState {
  explicit SessionState(boost::asio::any_io_executor executor)
      : waiter(executor) {}

  uint32_t pid = 0;
  uint32_t secret = 0;
  std::string user;
  std::string database;
  SettingsMap settings;
  std::unique_ptr<Transaction> transaction;
  std::map<std::string, PreparedStatement> prepared;
  Waiter waiter;
  /// Bytes of NoticeResponse and ParameterStatus to be sent.
  std::string reports;
  /// Tells the connection that a wait of unknown length begins (true) or
  /// ends, so that it watches for its loss meanwhile.
  std::function<void(bool)> on_long_wait;
};

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_SESSION_STATE_H_
