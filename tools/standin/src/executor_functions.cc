/// The SQL functions of Executor that look at the session or the member.
#include <boost/outcome/try.hpp>
#include <charconv>
#include <sstream>

#include "cardamomchute/pgwire/message.h"
#include "executor.h"

namespace cardamomchute::standin {
namespace {

/// The host and port of "host=... port=...".
std::optional<Address> ParseConninfo(const std::string& text) {
  Address address;
  std::istringstream words(text);
  std::string word;
  while (words >> word) {
    size_t equals = word.find('=');
    if (equals == std::string::npos) return std::nullopt;
    std::string value = word.substr(equals + 1);
    if (word.starts_with("host=")) address.host = value;
    if (!word.starts_with("port=")) continue;
    std::from_chars(value.data(), value.data() + value.size(), address.port);
  }
  if (address.host.empty() || address.port == 0) return std::nullopt;
  return address;
}

Value Lsn(Position position) {
  return Text(pgwire::FormatLsn(position.value()));
}

SqlError NotInRecovery() {
  return SqlError{"55000", "recovery is not in progress"};
}

}  // namespace

SqlResult<Value> Executor::Call(const std::string& name,
                                const std::vector<Value>& args) {
  if (std::optional<SqlResult<Value>> value = CallGroup(name)) return *value;
  if (name == "current_setting" || name == "set_config") {
    return CallSetting(name, args);
  }
  if (name == "pg_backend_pid") return Int(session_.pid);
  if (name == "pg_sleep") return Text("");
  if (name == "current_database") return Text(session_.database);
  if (name == "current_user" || name == "session_user" || name == "user") {
    return Text(session_.user);
  }
  if (name == "txid_current" && session_.transaction) {
    return Int(static_cast<int64_t>(session_.transaction->id));
  }
  if (name == "standin_notice" && args.size() == 1) {
    pgwire::Report report;
    report.severity = "NOTICE";
    report.sqlstate = "00000";
    report.message = args[0].text;
    session_.reports += pgwire::NoticeResponse(report);
    return Null();
  }
  return SqlError{"42883", "function " + name + " does not exist"};
}

std::optional<SqlResult<Value>> Executor::CallGroup(const std::string& name) {
  const Member& member = *host_.member;
  if (name == "pg_is_in_recovery") return Bool(!member.is_primary());
  if (name == "pg_promote") return Promote();
  if (name == "pg_reload_conf") return Reload();
  if (name == "pg_last_wal_receive_lsn") {
    return member.is_primary() ? Null() : Lsn(member.received());
  }
  if (name == "pg_last_wal_replay_lsn") {
    return member.is_primary() ? Null() : Lsn(member.replayed());
  }
  bool current = name == "pg_current_wal_lsn" ||
                 name == "pg_current_wal_insert_lsn" ||
                 name == "pg_current_wal_flush_lsn";
  if (!current) return std::nullopt;
  if (member.is_primary()) return Lsn(member.received());
  return SqlError{"55000", "recovery is in progress"};
}

SqlResult<Value> Executor::Promote() {
  if (host_.member->is_primary()) return NotInRecovery();
  host_.member->Promote();
  return Bool(true);
}

SqlResult<Value> Executor::Reload() {
  if (host_.pending_conninfo.empty()) return Bool(true);
  std::optional<Address> primary = ParseConninfo(host_.pending_conninfo);
  host_.pending_conninfo.clear();
  if (!primary) {
    return SqlError{"22023", "primary_conninfo needs host=... port=..."};
  }
  host_.follow(*primary);
  return Bool(true);
}

SqlResult<Value> Executor::CallSetting(const std::string& name,
                                       const std::vector<Value>& args) {
  if (args.empty() || args[0].null) return Null();
  if (name == "current_setting") {
    if (args[0].text == "transaction_read_only" && session_.transaction) {
      bool read_only =
          session_.transaction->read_only || !host_.member->is_primary();
      return Text(read_only ? "on" : "off");
    }
    if (args[0].text == "in_hot_standby") {
      return Text(host_.member->is_primary() ? "off" : "on");
    }
    SqlResult<std::string> value = session_.settings.Get(args[0].text);
    if (value) return Text(value.value());
    bool missing_ok = args.size() > 1 && IsTrue(args[1]);
    if (missing_ok) return Null();
    return value.error();
  }
  if (args.size() != 3) {
    return SqlError{"42883", "set_config takes three arguments"};
  }
  BOOST_OUTCOME_TRY(ChangeSetting(args[0].text, args[1].text, IsTrue(args[2])));
  return args[1];
}

}  // namespace cardamomchute::standin
