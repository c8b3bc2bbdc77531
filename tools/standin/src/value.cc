#include "value.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace cardamomchute::standin {
namespace {

constexpr int32_t kTextOid = 25;
constexpr int32_t kInt8Oid = 20;
constexpr int32_t kNumericOid = 1700;
constexpr int32_t kBoolOid = 16;

template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T n{};
  std::from_chars_result r =
      std::from_chars(text.data(), text.data() + text.size(), n);
  bool whole = r.ec == std::errc() && r.ptr == text.data() + text.size();
  return whole ? std::optional<T>(n) : std::nullopt;
}

bool IsNumber(const Value& v) {
  return v.type == ValueType::kInt || v.type == ValueType::kNumeric;
}

template <typename T>
int Sign(const T& a, const T& b) {
  return a < b ? -1 : (b < a ? 1 : 0);
}

SqlError DivisionByZero() { return SqlError{"22012", "division by zero"}; }

SqlError OutOfRange() { return SqlError{"22003", "bigint out of range"}; }

SqlResult<Value> IntArithmetic(char op, int64_t a, int64_t b) {
  int64_t out = 0;
  if (op == '+') {
    if (__builtin_add_overflow(a, b, &out)) return OutOfRange();
    return Int(out);
  }
  if (op == '-') {
    if (__builtin_sub_overflow(a, b, &out)) return OutOfRange();
    return Int(out);
  }
  if (op == '*') {
    if (__builtin_mul_overflow(a, b, &out)) return OutOfRange();
    return Int(out);
  }
  if (b == 0) return DivisionByZero();
  if (b == -1) return op == '/' ? IntArithmetic('-', 0, a) : Int(0);
  return Int(op == '/' ? a / b : a % b);
}

SqlResult<Value> DoubleArithmetic(char op, double a, double b) {
  if (op == '+') return Numeric(a + b);
  if (op == '-') return Numeric(a - b);
  if (op == '*') return Numeric(a * b);
  if (b == 0) return DivisionByZero();
  return Numeric(op == '/' ? a / b : std::fmod(a, b));
}

SqlResult<Value> CastToBool(const Value& v) {
  std::string_view t = v.text;
  if (t == "t" || t == "true" || t == "on" || t == "yes" || t == "1") {
    return Bool(true);
  }
  if (t == "f" || t == "false" || t == "off" || t == "no" || t == "0") {
    return Bool(false);
  }
  return SqlError{"22P02",
                  "invalid input syntax for type boolean: \"" + v.text + "\""};
}

}  // namespace

Value Null() { return Value(); }

Value Text(std::string text) {
  return Value{ValueType::kText, false, std::move(text)};
}

Value Int(int64_t n) {
  return Value{ValueType::kInt, false, std::to_string(n)};
}

Value Numeric(double n) {
  std::array<char, 32> text{};
  int size = std::snprintf(text.data(), text.size(), "%.15g", n);
  return Value{ValueType::kNumeric, false,
               std::string(text.data(), static_cast<size_t>(size))};
}

Value Bool(bool b) { return Value{ValueType::kBool, false, b ? "t" : "f"}; }

bool IsTrue(const Value& v) { return !v.null && v.text == "t"; }

std::optional<int64_t> ToInt(const Value& v) {
  if (v.null) return std::nullopt;
  return ParseNumber<int64_t>(v.text);
}

std::optional<double> ToDouble(const Value& v) {
  if (v.null) return std::nullopt;
  return ParseNumber<double>(v.text);
}

ValueType TypeOfName(std::string_view name) {
  constexpr std::array<std::string_view, 9> kInts = {
      "int",  "integer", "int4",   "int8",     "bigint",
      "int2", "oid",     "serial", "smallint",
  };
  constexpr std::array<std::string_view, 6> kNumerics = {
      "numeric", "decimal", "float8", "float4", "real", "double",
  };
  if (std::find(kInts.begin(), kInts.end(), name) != kInts.end()) {
    return ValueType::kInt;
  }
  if (std::find(kNumerics.begin(), kNumerics.end(), name) != kNumerics.end()) {
    return ValueType::kNumeric;
  }
  if (name == "bool" || name == "boolean") return ValueType::kBool;
  return ValueType::kText;
}

int32_t OidOf(ValueType type) {
  switch (type) {
    case ValueType::kText:
      return kTextOid;
    case ValueType::kInt:
      return kInt8Oid;
    case ValueType::kNumeric:
      return kNumericOid;
    case ValueType::kBool:
      return kBoolOid;
  }
  return kTextOid;
}

SqlResult<Value> Cast(Value v, ValueType to) {
  if (v.null || v.type == to) return v;
  if (to == ValueType::kBool) return CastToBool(v);
  if (to == ValueType::kInt) {
    if (std::optional<int64_t> n = ToInt(v)) return Int(*n);
    std::optional<double> d = ToDouble(v);
    if (d && v.type == ValueType::kNumeric) return Int(std::llround(*d));
    return SqlError{"22P02",
                    "invalid input syntax for type bigint: \"" + v.text + "\""};
  }
  if (to == ValueType::kNumeric && !ToDouble(v)) {
    return SqlError{
        "22P02", "invalid input syntax for type numeric: \"" + v.text + "\""};
  }
  v.type = to;
  return v;
}

int Compare(const Value& a, const Value& b) {
  if (!IsNumber(a) && !IsNumber(b)) return Sign(a.text, b.text);
  std::optional<int64_t> ai = ToInt(a);
  std::optional<int64_t> bi = ToInt(b);
  if (ai && bi) return Sign(*ai, *bi);
  std::optional<double> ad = ToDouble(a);
  std::optional<double> bd = ToDouble(b);
  if (ad && bd) return Sign(*ad, *bd);
  return Sign(a.text, b.text);
}

SqlResult<Value> Arithmetic(std::string_view op, const Value& a,
                            const Value& b) {
  if (a.null || b.null) return Null();
  if (op == "||") return Text(a.text + b.text);
  std::optional<int64_t> ai = ToInt(a);
  std::optional<int64_t> bi = ToInt(b);
  if (ai && bi) return IntArithmetic(op[0], *ai, *bi);
  std::optional<double> ad = ToDouble(a);
  std::optional<double> bd = ToDouble(b);
  if (ad && bd) return DoubleArithmetic(op[0], *ad, *bd);
  return SqlError{"42883",
                  "operator does not exist: text " + std::string(op) + " text"};
}

}  // namespace cardamomchute::standin
