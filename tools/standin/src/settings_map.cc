#include "settings_map.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <cctype>
#include <charconv>

namespace cardamomchute::standin {
namespace {

const SettingsMap::Values& Known() {
  static const SettingsMap::Values* known = new SettingsMap::Values{
      {"application_name", ""},
      {"bytea_output", "hex"},
      {"client_encoding", "UTF8"},
      {"client_min_messages", "notice"},
      {"datestyle", "ISO, MDY"},
      {"deadlock_timeout", "1s"},
      {"default_transaction_isolation", "read committed"},
      {"default_transaction_read_only", "off"},
      {"extra_float_digits", "1"},
      {"idle_in_transaction_session_timeout", "0"},
      {"idle_session_timeout", "0"},
      {"intervalstyle", "postgres"},
      {"lock_timeout", "0"},
      {"role", "none"},
      {"row_security", "on"},
      {"search_path", "\"$user\", public"},
      {"session_authorization", ""},
      {"standard_conforming_strings", "on"},
      {"statement_timeout", "0"},
      {"synchronous_commit", "on"},
      {"tcp_keepalives_count", "0"},
      {"tcp_keepalives_idle", "0"},
      {"tcp_keepalives_interval", "0"},
      {"tcp_user_timeout", "0"},
      {"timezone", "Etc/UTC"},
      {"transaction_isolation", "read committed"},
      {"transaction_read_only", "off"},
      {"work_mem", "4MB"},
  };
  return *known;
}

const SettingsMap::Values& Fixed() {
  static const SettingsMap::Values* fixed = new SettingsMap::Values{
      {"integer_datetimes", "on"}, {"is_superuser", "on"},
      {"max_connections", "100"},  {"server_encoding", "UTF8"},
      {"server_version", "15.0"},  {"server_version_num", "150000"},
  };
  return *fixed;
}

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::transform(
      lower.begin(), lower.end(), lower.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

/// Names with a dot belong to extensions and need not be known.
bool IsCustom(const std::string& name) {
  return name.find('.') != std::string::npos;
}

SqlError Unrecognized(const std::string& name) {
  return SqlError{"42704",
                  "unrecognized configuration parameter \"" + name + "\""};
}

SqlResult<void> CheckChangeable(const std::string& name) {
  if (Fixed().contains(name)) {
    return SqlError{"55P02", "parameter \"" + name + "\" cannot be changed"};
  }
  if (!IsCustom(name) && !Known().contains(name)) return Unrecognized(name);
  return SqlOk();
}

}  // namespace

void SettingsMap::SetDefault(const std::string& name, std::string value) {
  defaults_[Lower(name)] = std::move(value);
}

SqlResult<void> SettingsMap::Set(const std::string& name, std::string value) {
  std::string key = Lower(name);
  BOOST_OUTCOME_TRY(CheckChangeable(key));
  values_[key] = std::move(value);
  return SqlOk();
}

SqlResult<void> SettingsMap::Reset(const std::string& name) {
  std::string key = Lower(name);
  BOOST_OUTCOME_TRY(CheckChangeable(key));
  values_.erase(key);
  return SqlOk();
}

void SettingsMap::ResetAll() { values_.clear(); }

SqlResult<std::string> SettingsMap::Get(const std::string& name) const {
  std::string key = Lower(name);
  for (const Values* values : {&values_, &defaults_, &Known(), &Fixed()}) {
    auto found = values->find(key);
    if (found != values->end()) return found->second;
  }
  return Unrecognized(name);
}

bool SettingsMap::IsOn(const std::string& name) const {
  SqlResult<std::string> value = Get(name);
  if (!value) return false;
  return value.value() == "on" || value.value() == "true" ||
         value.value() == "1" || value.value() == "yes";
}

std::optional<std::chrono::milliseconds> SettingsMap::GetTimeout(
    const std::string& name) const {
  SqlResult<std::string> value = Get(name);
  if (!value) return std::nullopt;
  const std::string& text = value.value();
  int64_t n = 0;
  const char* end = text.data() + text.size();
  std::from_chars_result r = std::from_chars(text.data(), end, n);
  if (r.ec != std::errc() || n <= 0) return std::nullopt;
  std::string_view unit(r.ptr, static_cast<size_t>(end - r.ptr));
  if (unit == "s") return std::chrono::seconds(n);
  if (unit == "min") return std::chrono::minutes(n);
  return std::chrono::milliseconds(n);
}

std::optional<std::string> ReportedName(std::string_view name) {
  std::string key = Lower(name);
  if (key == "application_name" || key == "client_encoding" ||
      key == "standard_conforming_strings" || key == "session_authorization" ||
      key == "default_transaction_read_only") {
    return key;
  }
  if (key == "datestyle") return "DateStyle";
  if (key == "intervalstyle") return "IntervalStyle";
  if (key == "timezone") return "TimeZone";
  return std::nullopt;
}

}  // namespace cardamomchute::standin
