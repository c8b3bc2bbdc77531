#include "startup.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace cardamomchute {
namespace {

using Option = pgwire::StartupPacket::Option;

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::transform(
      lower.begin(), lower.end(), lower.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

/// Words separated by blanks; a backslash keeps the character after it.
std::vector<std::string> SplitWords(std::string_view text) {
  std::vector<std::string> words;
  std::string word;
  bool in_word = false;
  for (size_t i = 0; i < text.size(); ++i) {
    bool blank = std::isspace(static_cast<unsigned char>(text[i])) != 0;
    if (blank) {
      if (in_word) words.push_back(std::exchange(word, std::string()));
      in_word = false;
      continue;
    }
    if (text[i] == '\\' && i + 1 < text.size()) ++i;
    word.push_back(text[i]);
    in_word = true;
  }
  if (in_word) words.push_back(word);
  return words;
}

bool IsSettingName(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) || c == '_' || c == '.';
  });
}

std::string Quote(std::string_view value) {
  std::string quoted = value.find('\\') == std::string_view::npos ? "'" : "E'";
  for (char c : value) {
    if (c == '\'' || c == '\\') quoted.push_back(c);
    quoted.push_back(c);
  }
  quoted.push_back('\'');
  return quoted;
}

bool IsServerDefault(const std::string& name, const std::string& value) {
  std::string lower = Lower(value);
  if (name == "client_encoding") {
    return lower == "utf8" || lower == "utf-8" || lower == "unicode" ||
           lower == "auto" || lower == "'utf-8'" || lower == "'utf8'";
  }
  if (name == "datestyle") return lower == "iso" || lower == "iso, mdy";
  return false;
}

std::vector<Option> DefaultParameters(const AdmittedCaller& admitted) {
  const Caller& caller = admitted.caller;
  return {
      {"server_version", "15.0"},
      {"server_encoding", "UTF8"},
      {"client_encoding", "UTF8"},
      {"DateStyle", "ISO, MDY"},
      {"IntervalStyle", "postgres"},
      {"TimeZone", "Etc/UTC"},
      {"integer_datetimes", "on"},
      {"standard_conforming_strings", "on"},
      {"is_superuser", "off"},
      {"in_hot_standby", "off"},
      {"default_transaction_read_only", admitted.grant.writes ? "off" : "on"},
      {"session_authorization", caller.user},
      {"application_name", caller.application}};
}

void SetParameter(const std::string& lower_name, const std::string& value,
                  std::vector<Option>* parameters) {
  for (Option& parameter : *parameters) {
    if (Lower(parameter.key) == lower_name) parameter.value = value;
  }
}

/// What a startup packet asks for, sorted by who answers it.
struct Wishes {
  Caller caller;
  std::vector<Option> product;  ///< without prefix
  std::vector<Option> settings;
  bool replication = false;
};

void Sort(const Option& option, Wishes* wishes) {
  std::string name = Lower(option.key);
  if (name == "user") {
    wishes->caller.user = option.value;
  } else if (name == "database") {
    wishes->caller.database = option.value;
  } else if (name == "application_name") {
    wishes->caller.application = option.value;
  } else if (name == "replication") {
    wishes->replication = option.value != "false" && option.value != "off" &&
                          option.value != "no" && option.value != "0";
  } else if (name.starts_with(kProxySettingPrefix)) {
    wishes->product.push_back(
        {name.substr(kProxySettingPrefix.size()), option.value});
  } else if (!name.starts_with("_pq_.")) {
    wishes->settings.push_back({name, option.value});
  }
}

Result<Wishes> ReadWishes(const pgwire::StartupPacket& packet) {
  Wishes wishes;
  for (const Option& option : packet.options) {
    if (option.key != "options") {
      Sort(option, &wishes);
      continue;
    }
    BOOST_OUTCOME_TRY(nested, SplitOptions(option.value));
    for (const Option& setting : nested) Sort(setting, &wishes);
  }
  if (wishes.caller.database.empty()) {
    wishes.caller.database = wishes.caller.user;
  }
  return wishes;
}

StartupOutcome Refused(pgwire::Report report) {
  return StartupOutcome{std::move(report), {}};
}

/// Turns server settings into SQL; a name that is none is refused.
std::optional<pgwire::Report> AddSettings(const std::vector<Option>& settings,
                                          AdmittedCaller* admitted) {
  for (const Option& setting : settings) {
    if (!IsSettingName(setting.key)) {
      return FatalReport("22023", "\"" + setting.key + "\" is no setting",
                         "send settings as -c name=value");
    }
    if (IsServerDefault(setting.key, setting.value)) continue;
    admitted->setup.push_back("SET " + setting.key + " = " +
                              Quote(setting.value));
    SetParameter(setting.key, setting.value, &admitted->parameters);
  }
  return std::nullopt;
}

std::optional<pgwire::Report> AddProductOptions(
    const std::vector<Option>& product, const Document& document,
    AdmittedCaller* admitted) {
  for (const Option& option : product) {
    Status set = SetSessionOption(option.key, option.value, document,
                                  admitted->grant, &admitted->options);
    if (set.has_error()) {
      return FatalReport("22023", set.error().message, set.error().remedy);
    }
  }
  return std::nullopt;
}

}  // namespace

pgwire::Report FatalReport(std::string sqlstate, std::string message,
                           std::string hint) {
  pgwire::Report report;
  report.severity = "FATAL";
  report.sqlstate = std::move(sqlstate);
  report.message = std::move(message);
  report.hint = std::move(hint);
  return report;
}

pgwire::Report AccessReport(const Error& error) {
  bool no_database = error.kind == ErrorKind::kNotFound;
  return FatalReport(no_database ? "3D000" : "28000", error.message,
                     error.remedy);
}

Result<std::vector<Option>> SplitOptions(std::string_view text) {
  std::vector<Option> options;
  std::vector<std::string> words = SplitWords(text);
  for (size_t i = 0; i < words.size(); ++i) {
    std::string setting;
    if (words[i] == "-c" && i + 1 < words.size()) {
      setting = words[++i];
    } else if (words[i].starts_with("-c") || words[i].starts_with("--")) {
      setting = words[i].substr(2);
    }
    size_t equals = setting.find('=');
    if (equals == std::string::npos || equals == 0) {
      return Error{ErrorKind::kInvalidInput,
                   "startup option \"" + words[i] + "\" is not understood",
                   "send settings as -c name=value"};
    }
    std::string name = setting.substr(0, equals);
    std::replace(name.begin(), name.end(), '-', '_');
    options.push_back({std::move(name), setting.substr(equals + 1)});
  }
  return options;
}

StartupOutcome JudgeStartup(const pgwire::StartupPacket& packet,
                            const ClusterView& view, size_t callers) {
  Result<Wishes> read = ReadWishes(packet);
  if (read.has_error()) {
    return Refused(
        FatalReport("22023", read.error().message, read.error().remedy));
  }
  const Wishes& wishes = read.value();
  if (wishes.caller.user.empty()) {
    return Refused(FatalReport("28000", "no user name in the startup packet",
                               "connect with a user name"));
  }
  if (wishes.replication) {
    return Refused(FatalReport("0A000", "replication is not served",
                               "replicate from an endpoint directly"));
  }
  if (!view.document) {
    return Refused(
        FatalReport("57P03", "this VM has no document yet",
                    "try again soon; operators submit one document for the "
                    "environment"));
  }
  const Document& document = view.document->document;
  if (callers >= document.limits.callers_per_vm) {
    return Refused(
        FatalReport("53300", "this VM serves as many callers as it may",
                    "connect to another VM or raise limits.callers_per_vm"));
  }
  Result<Grant> grant = FindGrant(document, wishes.caller);
  if (grant.has_error()) return Refused(AccessReport(grant.error()));
  StartupOutcome outcome;
  outcome.admitted.caller = wishes.caller;
  outcome.admitted.grant = grant.value();
  outcome.admitted.parameters = DefaultParameters(outcome.admitted);
  outcome.refusal =
      AddProductOptions(wishes.product, document, &outcome.admitted);
  if (!outcome.refusal) {
    outcome.refusal = AddSettings(wishes.settings, &outcome.admitted);
  }
  return outcome;
}

}  // namespace cardamomchute
