#include "load_sql.h"

#include <algorithm>

namespace cardamomchute::loadgen {
namespace {

constexpr size_t kPaddedDigits = 12;

std::string Quote(const std::string& text) { return "'" + text + "'"; }

}  // namespace

std::string CreateTableSql() {
  return "CREATE TABLE IF NOT EXISTS loadgen (k text PRIMARY KEY, v text)";
}

std::string WriteSql(const std::string& run, const std::string& operation,
                     const std::string& session_key, uint64_t sequence,
                     const std::string& token) {
  return "INSERT INTO loadgen (k, v) VALUES (" +
         Quote(run + "/o/" + operation) + ", '1'), (" + Quote(session_key) +
         ", " + Quote(Padded(sequence)) +
         ") ON CONFLICT (k) DO UPDATE SET v = CASE "
         "WHEN excluded.v = '1' THEN '2' "
         "WHEN excluded.v > loadgen.v THEN excluded.v ELSE loadgen.v END "
         "RETURNING " +
         Quote(token);
}

std::string NoteSql(const std::string& run, const std::string& operation,
                    const std::string& token) {
  return "INSERT INTO loadgen (k, v) VALUES (" +
         Quote(run + "/o/" + operation) +
         ", '1') ON CONFLICT (k) DO UPDATE SET v = '2' RETURNING " +
         Quote(token);
}

std::string SetPairSql(const std::string& key, const std::string& operation,
                       const std::string& token) {
  return "INSERT INTO loadgen (k, v) VALUES (" + Quote(key) + ", " +
         Quote(operation) +
         ") ON CONFLICT (k) DO UPDATE SET v = excluded.v RETURNING " +
         Quote(token);
}

std::string ReadSql(const std::string& key, const std::string& token) {
  return "SELECT " + Quote(token) +
         ", max(v) FROM loadgen WHERE k = " + Quote(key);
}

std::string ReadPairSql(const std::string& pair, const std::string& token) {
  return "SELECT " + Quote(token) +
         ", min(v), max(v), count(*) FROM loadgen WHERE k IN (" +
         Quote(pair + "/a") + ", " + Quote(pair + "/b") + ")";
}

std::string FinalRowsSql(const std::string& run) {
  return "SELECT k, v FROM loadgen WHERE k >= " + Quote(run + "/") +
         " AND k < " + Quote(run + "0");
}

std::string SetOperationKeySql(const std::string& key) {
  return "SET cardamomchute.operation_key = " + Quote(key);
}

std::string Padded(uint64_t n) {
  std::string digits = std::to_string(n);
  return std::string(kPaddedDigits - std::min(kPaddedDigits, digits.size()),
                     '0') +
         digits;
}

}  // namespace cardamomchute::loadgen
