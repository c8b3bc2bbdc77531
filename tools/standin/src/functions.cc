#include "functions.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <ctime>

namespace cardamomchute::standin {
namespace {

/// One value never grows beyond this.
constexpr int64_t kMaxTextBytes = 64 * 1024 * 1024;

SqlError WrongArguments(const std::string& name) {
  return SqlError{"42883",
                  "function " + name + " does not take these arguments"};
}

Value CurrentTime() {
  std::chrono::system_clock::time_point now = std::chrono::system_clock::now();
  int64_t micros = std::chrono::duration_cast<std::chrono::microseconds>(
                       now.time_since_epoch())
                       .count();
  constexpr int64_t kMicrosPerSecond = 1000000;
  std::time_t seconds = static_cast<std::time_t>(micros / kMicrosPerSecond);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%d %H:%M:%S", &utc);
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "%s.%06d+00", date.data(),
                static_cast<int>(micros % kMicrosPerSecond));
  return Text(text.data());
}

SqlResult<Value> Repeat(const std::vector<Value>& args) {
  if (args.size() != 2) return WrongArguments("repeat");
  if (args[0].null || args[1].null) return Null();
  std::optional<int64_t> times = ToInt(args[1]);
  if (!times) return WrongArguments("repeat");
  int64_t size = static_cast<int64_t>(args[0].text.size());
  if (size > 0 && *times > kMaxTextBytes / size) {
    return SqlError{"54000", "requested length too large"};
  }
  std::string text;
  for (int64_t i = 0; i < *times; ++i) text += args[0].text;
  return Text(std::move(text));
}

template <typename Convert>
SqlResult<Value> Folded(const std::vector<Value>& args, Convert convert) {
  if (args.size() != 1) return WrongArguments("upper or lower");
  Value v = args[0];
  std::transform(v.text.begin(), v.text.end(), v.text.begin(), convert);
  return v;
}

int ToUpper(int c) { return std::toupper(c & 0xff); }
int ToLower(int c) { return std::tolower(c & 0xff); }

}  // namespace

std::optional<SqlResult<Value>> CallPure(const std::string& name,
                                         const std::vector<Value>& args) {
  if (name == "repeat") return Repeat(args);
  if (name == "now" || name == "current_timestamp" ||
      name == "clock_timestamp") {
    return CurrentTime();
  }
  if (name == "length" && args.size() == 1) {
    if (args[0].null) return Null();
    return Int(static_cast<int64_t>(args[0].text.size()));
  }
  if (name == "upper") return Folded(args, ToUpper);
  if (name == "lower") return Folded(args, ToLower);
  if (name == "version") return Text("PostgreSQL 15.0 (stand-in)");
  return std::nullopt;
}

ValueType ReturnTypeOf(const std::string& name) {
  if (name == "pg_is_in_recovery" || name == "pg_promote" ||
      name == "pg_reload_conf") {
    return ValueType::kBool;
  }
  if (name == "pg_backend_pid" || name == "length") return ValueType::kInt;
  return ValueType::kText;
}

}  // namespace cardamomchute::standin
