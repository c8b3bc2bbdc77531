/// The statements of the load, over the rows that loadgen-history describes.
#ifndef CARDAMOMCHUTE_LOADGEN_LOAD_SQL_H_
#define CARDAMOMCHUTE_LOADGEN_LOAD_SQL_H_

#include <cstdint>
#include <string>

namespace cardamomchute::loadgen {

std::string CreateTableSql();

/// Sets the operation's row, and the session's row to `sequence` unless it
/// holds a higher one. Returns rows of one column: the token.
std::string WriteSql(const std::string& run, const std::string& operation,
                     const std::string& session_key, uint64_t sequence,
                     const std::string& token);

/// Sets the operation's row only.
std::string NoteSql(const std::string& run, const std::string& operation,
                    const std::string& token);
/// Sets one row of a pair to the operation.
std::string SetPairSql(const std::string& key, const std::string& operation,
                       const std::string& token);

/// One row: token, value of the row or NULL.
std::string ReadSql(const std::string& key, const std::string& token);
/// One row: token, lower and higher value of the pair, number of rows.
std::string ReadPairSql(const std::string& pair, const std::string& token);

/// All rows of a run: key, value.
std::string FinalRowsSql(const std::string& run);

std::string SetOperationKeySql(const std::string& key);

/// Numbers as text that compares like numbers.
std::string Padded(uint64_t n);

}  // namespace cardamomchute::loadgen

#endif  // CARDAMOMCHUTE_LOADGEN_LOAD_SQL_H_
