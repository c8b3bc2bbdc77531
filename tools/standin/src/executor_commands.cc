/// The commands of Executor that return no rows.
#include <boost/outcome/try.hpp>

#include "cardamomchute/pgwire/message.h"
#include "executor.h"
#include "transaction_control.h"

namespace cardamomchute::standin {

void Executor::Warn(const std::string& sqlstate, const std::string& message) {
  pgwire::Report report;
  report.severity = "WARNING";
  report.sqlstate = sqlstate;
  report.message = message;
  session_.reports += pgwire::NoticeResponse(report);
}

void Executor::ReportSetting(const std::string& name) {
  std::optional<std::string> reported = ReportedName(name);
  if (!reported) return;
  SqlResult<std::string> value = session_.settings.Get(name);
  if (!value) return;
  session_.reports += pgwire::ParameterStatus(*reported, value.value());
}

SqlResult<void> Executor::ChangeSetting(const std::string& name,
                                        const std::optional<std::string>& value,
                                        bool local) {
  Transaction& transaction = *session_.transaction;
  if (value) {
    BOOST_OUTCOME_TRY(session_.settings.Set(name, *value));
  } else {
    BOOST_OUTCOME_TRY(session_.settings.Reset(name));
  }
  ReportSetting(name);
  if (local) return SqlOk();
  SettingsMap after;
  after.Restore(std::move(transaction.settings_after));
  SqlResult<void> kept = value ? after.Set(name, *value) : after.Reset(name);
  transaction.settings_after = after.values();
  return kept;
}

SqlResult<std::string> Executor::Tag(const CreateTable& create) {
  if (View().FindTable(create.def.name)) {
    std::string what = "relation \"" + create.def.name + "\" already exists";
    if (!create.if_not_exists) return SqlError{"42P07", what};
    Warn("42P07", what + ", skipping");
    return std::string("CREATE TABLE");
  }
  session_.transaction->overlay.Create(create.def);
  return std::string("CREATE TABLE");
}

SqlResult<std::string> Executor::Tag(const DropTable& drop) {
  if (!View().FindTable(drop.table)) {
    std::string what = "table \"" + drop.table + "\" does not exist";
    if (!drop.if_exists) return SqlError{"42P01", what};
    Warn("00000", what + ", skipping");
    return std::string("DROP TABLE");
  }
  session_.transaction->overlay.Drop(drop.table);
  return std::string("DROP TABLE");
}

SqlResult<std::string> Executor::Tag(const Truncate& truncate) {
  BOOST_OUTCOME_TRY(found, FindTable(View(), truncate.table));
  TableDef def = *found;
  session_.transaction->overlay.Create(def);
  return std::string("TRUNCATE TABLE");
}

SqlResult<std::string> Executor::Tag(const Set& set) {
  if (set.local && !session_.transaction->block) {
    Warn("25P01", "SET LOCAL can only be used in transaction blocks");
  }
  BOOST_OUTCOME_TRY(ChangeSetting(set.name, set.value, set.local));
  return std::string("SET");
}

SqlResult<std::string> Executor::Tag(const Reset& reset) {
  if (!reset.name.empty()) {
    BOOST_OUTCOME_TRY(ChangeSetting(reset.name, std::nullopt, false));
    return std::string("RESET");
  }
  session_.settings.ResetAll();
  session_.transaction->settings_after.clear();
  ReportSetting("application_name");
  return std::string("RESET");
}

SqlResult<std::string> Executor::Tag(const Begin& begin) {
  Transaction& transaction = *session_.transaction;
  if (transaction.block) {
    Warn("25001", "there is already a transaction in progress");
  }
  transaction.block = true;
  transaction.read_only = transaction.read_only || begin.read_only;
  return std::string("BEGIN");
}

SqlResult<std::string> Executor::Tag(const SetTransaction& set) {
  if (set.read_only) session_.transaction->read_only = *set.read_only;
  return std::string("SET");
}

SqlResult<std::string> Executor::Tag(const Commit& commit) {
  if (!session_.transaction->block) {
    Warn("25P01", "there is no transaction in progress");
  }
  if (session_.transaction->failed) {
    RollbackTransaction(host_.member, &session_);
    return std::string("ROLLBACK");
  }
  BOOST_OUTCOME_TRY(CommitTransaction(host_.member, &session_));
  return std::string("COMMIT");
}

SqlResult<std::string> Executor::Tag(const Rollback& rollback) {
  if (!session_.transaction->block) {
    Warn("25P01", "there is no transaction in progress");
  }
  RollbackTransaction(host_.member, &session_);
  return std::string("ROLLBACK");
}

SqlResult<std::string> Executor::Tag(const Discard& discard) {
  if (discard.scope != DiscardScope::kAll) return std::string("DISCARD");
  if (session_.transaction->block) {
    return SqlError{"25001",
                    "DISCARD ALL cannot run inside a transaction block"};
  }
  session_.settings.ResetAll();
  session_.transaction->settings_after.clear();
  session_.prepared.clear();
  ReportSetting("application_name");
  return std::string("DISCARD ALL");
}

SqlResult<std::string> Executor::Tag(const Prepare& prepare) {
  PreparedStatement prepared{prepare.statement, prepare.statement->params};
  if (!session_.prepared.try_emplace(prepare.name, prepared).second) {
    return SqlError{
        "42P05", "prepared statement \"" + prepare.name + "\" already exists"};
  }
  return std::string("PREPARE");
}

SqlResult<std::string> Executor::Tag(const Deallocate& deallocate) {
  if (deallocate.name.empty()) {
    session_.prepared.clear();
    return std::string("DEALLOCATE ALL");
  }
  if (session_.prepared.erase(deallocate.name) == 0) {
    return SqlError{"26000", "prepared statement \"" + deallocate.name +
                                 "\" does not exist"};
  }
  return std::string("DEALLOCATE");
}

SqlResult<std::string> Executor::Tag(const AlterSystem& alter) {
  if (alter.name != "primary_conninfo") {
    return SqlError{
        "42704", "unrecognized configuration parameter \"" + alter.name + "\""};
  }
  host_.pending_conninfo = alter.value;
  return std::string("ALTER SYSTEM");
}

}  // namespace cardamomchute::standin
