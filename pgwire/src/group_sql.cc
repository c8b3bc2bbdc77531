#include "cardamomchute/pgwire/group_sql.h"

#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <optional>
#include <vector>

#include "cardamomchute/pgwire/message.h"

namespace cardamomchute::pgwire {
namespace {

constexpr size_t kProbeColumns = 4;

Error Unreadable(const std::string& what) {
  return Error{ErrorKind::kProtocol, "probe answer: " + what,
               "check that the endpoint is a PostgreSQL server"};
}

Result<Position> ReadLsn(const std::optional<std::string>& text) {
  if (!text) return Position(0);
  BOOST_OUTCOME_TRY(lsn, ParseLsn(*text));
  return Position(lsn);
}

}  // namespace

std::string FollowSql(const Address& primary) {
  return "ALTER SYSTEM SET primary_conninfo = 'host=" + primary.host +
         " port=" + std::to_string(primary.port) + "'";
}

Result<MemberPosition> ParseProbeRow(std::string_view body) {
  BOOST_OUTCOME_TRY(values, ParseDataRow(body));
  if (values.size() != kProbeColumns) return Unreadable("wrong column count");
  if (!values[0] || !values[1]) return Unreadable("missing role or timeline");
  uint64_t term = 0;
  if (!boost::conversion::try_lexical_convert(*values[1], term)) {
    return Unreadable("timeline is not a number");
  }
  MemberPosition member;
  member.is_primary = *values[0] == "f";
  member.term = Term(term);
  BOOST_OUTCOME_TRY(received, ReadLsn(values[2]));
  BOOST_OUTCOME_TRY(replayed, ReadLsn(values[3]));
  member.received = received;
  member.replayed = replayed;
  return member;
}

}  // namespace cardamomchute::pgwire
