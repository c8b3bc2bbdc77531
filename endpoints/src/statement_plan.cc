#include "statement_plan.h"

#include <boost/endian/conversion.hpp>

#include "cardamomchute/pgwire/group_sql.h"
#include "cardamomchute/pgwire/message.h"

namespace cardamomchute {
namespace {

constexpr size_t kHeaderBytes = 5;

/// A frontend message, possibly truncated at the end of the received bytes.
struct FrontendMessage {
  char type = 0;
  std::string_view body;
  size_t size = 0;  ///< full size with header, even if truncated
};

bool NextFrontendMessage(std::string_view bytes, FrontendMessage* message) {
  if (bytes.size() < kHeaderBytes) return false;
  uint32_t length = boost::endian::load_big_u32(
      reinterpret_cast<const unsigned char*>(bytes.data() + 1));
  if (length < 4) return false;
  message->type = bytes[0];
  message->size = size_t{length} + 1;
  message->body = bytes.substr(kHeaderBytes, length - 4);
  return true;
}

/// Returns the statement name of a Parse message; empty if it has none.
std::string_view ParsedName(const FrontendMessage& message) {
  if (message.type != 'P') return {};
  return pgwire::BodyReader(message.body).CString();
}

std::string CloseStatement(std::string_view name) {
  pgwire::Builder builder;
  builder.Begin('C').Byte('S').CString(name).End();
  return builder.Take();
}

/// Plans a reset and the session's setup if the connection's state may differ.
/// Applies to the session that used the connection last, too: it may have
/// several caller connections, and its setup does not reflect a rollback.
void PlanReset(PooledConnection* connection, const Statement& statement,
               StatementPlan* plan) {
  bool other_setup = connection->setup_hash != statement.setup_hash;
  bool fresh = connection->setup_hash == 0 && !connection->dirty;
  if (!other_setup && !connection->dirty) return;
  if (!fresh) {
    plan->bytes += pgwire::Query(pgwire::kResetSql);
    plan->steps.push_back(PlanStep::kReset);
    connection->prepared.clear();
    connection->dirty = false;
  }
  for (const std::string& sql : statement.setup) {
    plan->bytes += pgwire::Query(sql);
    plan->steps.push_back(PlanStep::kSetup);
  }
  connection->setup_hash = statement.setup_hash;
}

/// Returns messages that close prepared statements which may exist and parse
/// those that the batch needs.
std::string PlanPrepared(PooledConnection* connection,
                         const Statement& statement, StatementPlan* plan) {
  std::string bytes;
  for (const std::string& parse : statement.prepared) {
    FrontendMessage message;
    if (!NextFrontendMessage(parse, &message)) continue;
    std::string name(ParsedName(message));
    auto known = connection->prepared.find(name);
    bool present = known != connection->prepared.end();
    if (present && known->second == PreparedState::kPresent) continue;
    if (present) bytes += CloseStatement(name);
    bytes += parse;
    plan->parsed.push_back(name);
    connection->prepared[name] = PreparedState::kUncertain;
  }
  std::string_view rest = statement.bytes;
  FrontendMessage message;
  while (NextFrontendMessage(rest, &message)) {
    std::string name(ParsedName(message));
    if (!name.empty()) {
      if (connection->prepared.contains(name)) bytes += CloseStatement(name);
      connection->prepared[name] = PreparedState::kUncertain;
      plan->parsed.push_back(name);
    }
    if (message.size >= rest.size()) break;
    rest.remove_prefix(message.size);
  }
  return bytes;
}

}  // namespace

StatementPlan PlanStatement(PooledConnection* connection,
                            const Statement& statement,
                            const std::string& session, bool in_transaction) {
  StatementPlan plan;
  if (!in_transaction) PlanReset(connection, statement, &plan);
  std::string prepare = PlanPrepared(connection, statement, &plan);
  if (!prepare.empty()) {
    plan.bytes += prepare;
    plan.bytes += pgwire::Builder().Begin('S').End().bytes();
    plan.steps.push_back(PlanStep::kPrepare);
  }
  if (statement.changes_state) connection->dirty = true;
  connection->last_session = session;
  return plan;
}

void RecordBatchEnd(PooledConnection* connection,
                    const std::vector<std::string>& parsed, bool failed,
                    const std::string& command_tag) {
  if (command_tag == "DISCARD ALL" || command_tag == "DEALLOCATE ALL") {
    for (auto& [name, state] : connection->prepared) {
      state = PreparedState::kUncertain;
    }
    return;
  }
  if (failed) return;
  for (const std::string& name : parsed) {
    connection->prepared[name] = PreparedState::kPresent;
  }
}

std::string_view SimpleQuery(const Statement& statement) {
  FrontendMessage message;
  if (!statement.complete) return {};
  if (!NextFrontendMessage(statement.bytes, &message)) return {};
  if (message.type != 'Q' || message.size != statement.bytes.size()) return {};
  return pgwire::BodyReader(message.body).CString();
}

}  // namespace cardamomchute
