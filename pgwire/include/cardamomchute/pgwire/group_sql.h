/// The ordinary SQL by which a group's members are observed and directed.
/// A PostgreSQL server answers it as it stands; so does the stand-in.
#ifndef CARDAMOMCHUTE_PGWIRE_GROUP_SQL_H_
#define CARDAMOMCHUTE_PGWIRE_GROUP_SQL_H_

#include <string>
#include <string_view>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"

namespace cardamomchute::pgwire {

/// One row of four columns: in recovery (t/f), timeline, received LSN,
/// replayed LSN. On a primary both LSNs are the current one.
inline constexpr std::string_view kProbeSql =
    "SELECT pg_is_in_recovery(), "
    "CASE WHEN pg_is_in_recovery() THEN "
    "coalesce((SELECT received_tli FROM pg_stat_wal_receiver), "
    "(SELECT timeline_id FROM pg_control_checkpoint())) "
    "ELSE ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))"
    "::bit(32)::int END, "
    "CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() "
    "ELSE pg_current_wal_lsn() END, "
    "CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() "
    "ELSE pg_current_wal_lsn() END";

/// Makes a replica the primary of the next term; one row: t once it reigns.
inline constexpr std::string_view kPromoteSql = "SELECT pg_promote(true, 10)";

/// Points a replica at another primary; followed by kReloadSql.
std::string FollowSql(const Address& primary);
inline constexpr std::string_view kReloadSql = "SELECT pg_reload_conf()";

/// Brings a connection back to its fresh state.
inline constexpr std::string_view kResetSql = "DISCARD ALL";

/// What kProbeSql says of a member.
struct MemberPosition {
  bool is_primary = false;
  Term term;
  Position received;
  Position replayed;
};

/// Reads the DataRow body that answers kProbeSql.
Result<MemberPosition> ParseProbeRow(std::string_view body);

}  // namespace cardamomchute::pgwire

#endif  // CARDAMOMCHUTE_PGWIRE_GROUP_SQL_H_
