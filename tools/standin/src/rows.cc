#include "rows.h"

#include "cardamomchute/pgwire/message.h"

namespace cardamomchute::standin {

std::string RowDescription(const std::vector<ResultColumn>& columns) {
  constexpr int16_t kVariableSize = -1;
  constexpr int32_t kNoModifier = -1;
  pgwire::Builder b;
  b.Begin('T').Int16(static_cast<int16_t>(columns.size()));
  for (const ResultColumn& column : columns) {
    b.CString(column.name).Int32(0).Int16(0).Int32(OidOf(column.type));
    b.Int16(kVariableSize).Int32(kNoModifier).Int16(0);
  }
  return b.End().Take();
}

std::string DataRow(const Row& row) {
  pgwire::Builder b;
  b.Begin('D').Int16(static_cast<int16_t>(row.size()));
  for (const Value& v : row) {
    if (v.null) {
      b.Int32(-1);
    } else {
      b.Int32(static_cast<int32_t>(v.text.size())).Bytes(v.text);
    }
  }
  return b.End().Take();
}

}  // namespace cardamomchute::standin
