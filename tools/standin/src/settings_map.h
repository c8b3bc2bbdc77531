/// The settings of one connection, as SET, SHOW and RESET treat them.
#ifndef CARDAMOMCHUTE_STANDIN_SETTINGS_MAP_H_
#define CARDAMOMCHUTE_STANDIN_SETTINGS_MAP_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "value.h"

namespace cardamomchute::standin {

class SettingsMap {
 public:
  using Values = std::map<std::string, std::string>;

  /// Values of the startup packet: what RESET goes back to.
  void SetDefault(const std::string& name, std::string value);

  /// 42704 when there is no such setting; 55P02 when it can't be changed.
  SqlResult<void> Set(const std::string& name, std::string value);
  SqlResult<void> Reset(const std::string& name);
  void ResetAll();
  SqlResult<std::string> Get(const std::string& name) const;
  bool IsOn(const std::string& name) const;
  /// A timeout such as "500", "500ms", "5s" or "1min"; nothing when zero.
  std::optional<std::chrono::milliseconds> GetTimeout(
      const std::string& name) const;

  /// What was SET, to be brought back on rollback.
  const Values& values() const { return values_; }
  void Restore(Values values) { values_ = std::move(values); }

 private:
  Values values_;
  Values defaults_;
};

/// The name under which the setting is reported to the client at each change;
/// nothing when it is not.
std::optional<std::string> ReportedName(std::string_view name);

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_SETTINGS_MAP_H_
