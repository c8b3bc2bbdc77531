/// The extended query protocol of Session.
#include <boost/outcome/try.hpp>

#include "parser.h"
#include "rows.h"
#include "session.h"
#include "transaction_control.h"

namespace cardamomchute::standin {
namespace {

constexpr char kParse = 'P';
constexpr char kBind = 'B';
constexpr char kDescribe = 'D';
constexpr char kExecute = 'E';
constexpr char kClose = 'C';
constexpr char kOfStatement = 'S';
constexpr int32_t kTextOid = 25;

SqlError Malformed() {
  return SqlError{"08P01", "invalid message format", "FATAL"};
}

SqlError NoStatement(std::string_view name) {
  return SqlError{"26000", "prepared statement \"" + std::string(name) +
                               "\" does not exist"};
}

SqlError NoPortal(std::string_view name) {
  return SqlError{"34000",
                  "portal \"" + std::string(name) + "\" does not exist"};
}

std::string Empty(char type) {
  return pgwire::Builder().Begin(type).End().Take();
}

/// Only the text format is served.
SqlResult<void> ReadFormats(pgwire::BodyReader* reader) {
  int16_t count = reader->Int16();
  for (int16_t i = 0; i < count; ++i) {
    if (reader->Int16() == 0) continue;
    return SqlError{"0A000", "binary format is not supported by the stand-in"};
  }
  return SqlOk();
}

SqlResult<std::vector<Value>> ReadParams(pgwire::BodyReader* reader) {
  std::vector<Value> params;
  int16_t count = reader->Int16();
  for (int16_t i = 0; i < count && reader->ok(); ++i) {
    int32_t size = reader->Int32();
    if (size < 0) {
      params.push_back(Null());
      continue;
    }
    std::string_view bytes = reader->Bytes(static_cast<size_t>(size));
    params.push_back(Text(std::string(bytes)));
  }
  if (!reader->ok()) return Malformed();
  return params;
}

}  // namespace

boost::asio::awaitable<SqlResult<void>> Session::OnExtended(
    OwnedMessage message) {
  switch (message.type) {
    case kParse:
      co_return OnParse(message.body);
    case kBind:
      co_return OnBind(message.body);
    case kDescribe:
      co_return OnDescribe(message.body);
    case kExecute:
      co_return co_await OnExecute(std::move(message.body));
    case kClose:
      co_return OnClose(message.body);
    default:
      co_return SqlError{"08P01", "unexpected message type", "FATAL"};
  }
}

SqlResult<void> Session::OnParse(std::string_view body) {
  pgwire::BodyReader reader(body);
  std::string name(reader.CString());
  std::string sql(reader.CString());
  if (!reader.ok()) return Malformed();
  BOOST_OUTCOME_TRY(statements, Parse(sql));
  if (statements.size() > 1) {
    return SqlError{"42601",
                    "cannot insert multiple commands into a prepared "
                    "statement"};
  }
  if (!name.empty() && state_.prepared.contains(name)) {
    return SqlError{"42P05",
                    "prepared statement \"" + name + "\" already exists"};
  }
  PreparedStatement prepared;
  if (!statements.empty()) {
    prepared.statement = statements[0];
    prepared.params = statements[0]->params;
  }
  state_.prepared[name] = std::move(prepared);
  connection_.Send(Empty('1'));
  return SqlOk();
}

SqlResult<void> Session::OnBind(std::string_view body) {
  pgwire::BodyReader reader(body);
  std::string portal_name(reader.CString());
  std::string_view name = reader.CString();
  BOOST_OUTCOME_TRY(ReadFormats(&reader));
  BOOST_OUTCOME_TRY(params, ReadParams(&reader));
  BOOST_OUTCOME_TRY(ReadFormats(&reader));
  if (!reader.ok()) return Malformed();
  auto found = state_.prepared.find(std::string(name));
  if (found == state_.prepared.end()) return NoStatement(name);
  if (params.size() != found->second.params) {
    return SqlError{"08P01", "bind message supplies " +
                                 std::to_string(params.size()) +
                                 " parameters, but the statement requires " +
                                 std::to_string(found->second.params)};
  }
  Portal portal;
  portal.statement = found->second.statement;
  portal.params = std::move(params);
  portals_[portal_name] = std::move(portal);
  connection_.Send(Empty('2'));
  return SqlOk();
}

SqlResult<void> Session::DescribeColumns(const Statement& statement) {
  BOOST_OUTCOME_TRY(columns, executor_.Describe(statement));
  connection_.Send(columns ? RowDescription(*columns) : Empty('n'));
  return SqlOk();
}

SqlResult<void> Session::OnDescribe(std::string_view body) {
  pgwire::BodyReader reader(body);
  char kind = static_cast<char>(reader.Byte());
  std::string name(reader.CString());
  if (!reader.ok()) return Malformed();
  StatementPtr statement;
  if (kind == kOfStatement) {
    auto found = state_.prepared.find(name);
    if (found == state_.prepared.end()) return NoStatement(name);
    statement = found->second.statement;
    pgwire::Builder builder;
    builder.Begin('t').Int16(static_cast<int16_t>(found->second.params));
    for (uint32_t i = 0; i < found->second.params; ++i) builder.Int32(kTextOid);
    connection_.Send(builder.End().bytes());
  } else {
    auto found = portals_.find(name);
    if (found == portals_.end()) return NoPortal(name);
    statement = found->second.statement;
  }
  if (!statement) {
    connection_.Send(Empty('n'));
    return SqlOk();
  }
  return DescribeColumns(*statement);
}

boost::asio::awaitable<SqlResult<void>> Session::OnExecute(std::string body) {
  pgwire::BodyReader reader(body);
  std::string name(reader.CString());
  int32_t limit = reader.Int32();
  if (!reader.ok()) co_return Malformed();
  auto found = portals_.find(name);
  if (found == portals_.end()) co_return NoPortal(name);
  Portal& portal = found->second;
  if (!portal.statement) {
    connection_.Send(Empty('I'));
    co_return SqlOk();
  }
  if (!portal.execution) {
    BeginStatement();
    SqlResult<Execution> ran =
        co_await executor_.Run(portal.statement, portal.params);
    if (!ran) co_return ran.error();
    portal.execution.emplace(std::move(ran.value()));
  }
  Execution& execution = *portal.execution;
  SendReports();
  if (execution.columns) {
    uint64_t at_most = limit > 0 ? static_cast<uint64_t>(limit) : 0;
    SqlResult<bool> sent = co_await SendRows(&execution, at_most, &portal.rows);
    if (!sent) co_return sent.error();
    execution.slot.reset();
    if (!sent.value()) {
      connection_.Send(Empty('s'));
      co_return SqlOk();
    }
  }
  SendReports();
  SendComplete(execution, portal.rows);
  if (!state_.transaction) {
    portals_.clear();
    co_return SqlOk();
  }
  if (execution.columns) {
    execution.rows = [](Row*) -> SqlResult<bool> { return false; };
  }
  co_return SqlOk();
}

SqlResult<void> Session::OnClose(std::string_view body) {
  pgwire::BodyReader reader(body);
  char kind = static_cast<char>(reader.Byte());
  std::string name(reader.CString());
  if (!reader.ok()) return Malformed();
  if (kind == kOfStatement) {
    state_.prepared.erase(name);
  } else {
    portals_.erase(name);
  }
  connection_.Send(Empty('3'));
  return SqlOk();
}

boost::asio::awaitable<bool> Session::OnSync() {
  skip_to_sync_ = false;
  bool implicit = state_.transaction && !state_.transaction->block;
  if (implicit) {
    portals_.clear();
    SqlResult<void> committed = CommitTransaction(host_.member, &state_);
    if (!committed) SendError(committed.error());
  }
  if (!state_.transaction) portals_.clear();
  SendReady();
  if (connection_.HasMessage()) co_return true;
  co_return co_await connection_.Flush();
}

}  // namespace cardamomchute::standin
