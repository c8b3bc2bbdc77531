/// One line of key=value pairs for each event, through log4cxx.
#ifndef CARDAMOMCHUTE_BASE_LOG_H_
#define CARDAMOMCHUTE_BASE_LOG_H_

#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

namespace cardamomchute {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// "debug", "info", "warn" or "error"; kInfo for anything else.
LogLevel ParseLogLevel(std::string_view name);

/// Sends log lines of at least `level` to standard output, each stamped with
/// the time and `vm=`, as far as a LogSink takes them. Called once, before the
/// first line; until then lines go nowhere.
void StartLog(std::string_view vm, LogLevel level);

bool LogEnabled(LogLevel level);

/// Builds one line and writes it when it goes out of scope.
///
///     LogLine(LogLevel::kInfo, "route").Field("group", group).Field("to", id);
class LogLine {
 public:
  LogLine(LogLevel level, std::string_view event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  /// Appends ` key=value`; text with blanks or quotes is quoted.
  template <typename T>
  LogLine& Field(std::string_view key, const T& value) {
    if (!enabled_) return *this;
    if constexpr (std::is_convertible_v<const T&, std::string_view>) {
      Append(key, std::string_view(value));
    } else {
      std::ostringstream text;
      text << value;
      Append(key, text.str());
    }
    return *this;
  }

 private:
  void Append(std::string_view key, std::string_view value);

  LogLevel level_;
  bool enabled_;
  std::string line_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_BASE_LOG_H_
