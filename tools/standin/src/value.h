/// Values, rows and errors of the stand-in's SQL.
#ifndef CARDAMOMCHUTE_STANDIN_VALUE_H_
#define CARDAMOMCHUTE_STANDIN_VALUE_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <cstdint>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomchute::standin {

/// What an ErrorResponse needs.
struct SqlError {
  std::string sqlstate;
  std::string message;
  std::string severity = "ERROR";
};

template <typename T>
using SqlResult =
    boost::outcome_v2::basic_result<T, SqlError,
                                    boost::outcome_v2::policy::terminate>;

inline boost::outcome_v2::success_type<void> SqlOk() {
  return boost::outcome_v2::success();
}

enum class ValueType : uint8_t { kText = 0, kInt, kNumeric, kBool };

}  // namespace cardamomchute::standin

MSGPACK_ADD_ENUM(cardamomchute::standin::ValueType)

namespace cardamomchute::standin {

/// One SQL value, held in the text form that goes over the wire.
struct Value {
  ValueType type = ValueType::kText;
  bool null = true;
  std::string text;
  MSGPACK_DEFINE(type, null, text)
};

using Row = std::vector<Value>;
using RowPtr = std::shared_ptr<const Row>;

Value Null();
Value Text(std::string text);
Value Int(int64_t n);
Value Numeric(double n);
Value Bool(bool b);

bool IsTrue(const Value& v);
std::optional<int64_t> ToInt(const Value& v);
std::optional<double> ToDouble(const Value& v);

/// Type that a column declared as `name` holds.
ValueType TypeOfName(std::string_view name);
/// OID as PostgreSQL names the type in RowDescription.
int32_t OidOf(ValueType type);

/// 22P02 when the text is not of that type.
SqlResult<Value> Cast(Value v, ValueType to);

/// Below, equal or above zero; numbers compare as numbers.
int Compare(const Value& a, const Value& b);

/// `op` is one of + - * / % ||. 22012 on division by zero.
SqlResult<Value> Arithmetic(std::string_view op, const Value& a,
                            const Value& b);

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_VALUE_H_
