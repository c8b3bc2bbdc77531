#include "cardamomchute/policy/sessions/session_options.h"

#include <algorithm>
#include <charconv>

namespace cardamomchute {
namespace {

constexpr size_t kMaxNameBytes = 128;

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number = 0;
  const char* end = text.data() + text.size();
  std::from_chars_result parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

Error InvalidValue(std::string_view name, std::string_view value,
                   std::string remedy) {
  return Error{ErrorKind::kInvalidInput,
               "\"" + std::string(value) + "\" is not a valid value of " +
                   std::string(kProxySettingPrefix) + std::string(name),
               std::move(remedy)};
}

Error UnknownOption(std::string_view name) {
  return Error{ErrorKind::kNotFound,
               "there is no setting " + std::string(kProxySettingPrefix) +
                   std::string(name),
               "use rank, max_staleness_ms, operation_key, session or floor"};
}

bool IsPrintableName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < 0x7f; });
}

/// Parses a rank name or a 1-based rank number, as the documentation counts.
std::optional<Rank> ParseRank(const Document& document,
                              std::string_view value) {
  for (size_t i = 0; i < document.ranks.size(); ++i) {
    if (document.ranks[i].name.value() == value) return Rank(i);
  }
  std::optional<uint64_t> number = ParseNumber<uint64_t>(value);
  if (!number || *number < 1 || *number > document.ranks.size()) {
    return std::nullopt;
  }
  return Rank(*number - 1);
}

std::string RankLabel(const Document& document, Rank rank) {
  if (rank.value() >= document.ranks.size()) {
    return std::to_string(rank.value() + 1);
  }
  return document.ranks[rank.value()].name.value();
}

Status SetRank(std::string_view value, const Document& document,
               const Grant& grant, SessionOptions* options) {
  if (value.empty()) {
    options->rank.reset();
    return Ok();
  }
  std::optional<Rank> rank = ParseRank(document, value);
  if (!rank) {
    return InvalidValue("rank", value,
                        "name a rank of the environment's document");
  }
  if (*rank < grant.rank) {
    return Error{ErrorKind::kUnauthorized,
                 "rank \"" + std::string(value) + "\" is above the granted \"" +
                     RankLabel(document, grant.rank) + "\"",
                 "ask for a rank no more urgent than the granted one"};
  }
  options->rank = rank;
  return Ok();
}

bool IsStalenessLooser(Duration requested, Duration granted) {
  if (granted < Duration()) return false;
  return requested < Duration() || requested > granted;
}

Status SetStaleness(std::string_view value, const Grant& grant,
                    SessionOptions* options) {
  if (value.empty()) {
    options->max_staleness.reset();
    return Ok();
  }
  std::optional<int64_t> ms = ParseNumber<int64_t>(value);
  if (value == "any") ms = -1;
  if (!ms || *ms < -1) {
    return InvalidValue("max_staleness_ms", value,
                        "give milliseconds, 0 for exact or -1 for any age");
  }
  if (IsStalenessLooser(Millis(*ms), grant.max_staleness)) {
    return Error{ErrorKind::kUnauthorized,
                 "staleness of " + std::string(value) +
                     " ms is above the granted " +
                     std::to_string(grant.max_staleness.ms()) + " ms",
                 "ask for no more than the environment's document grants"};
  }
  options->max_staleness = Millis(*ms);
  return Ok();
}

Status SetFloor(std::string_view value, SessionOptions* options) {
  std::optional<Floor> floor = ParseFloor(value);
  if (!floor) {
    return InvalidValue("floor", value,
                        "give TERM/POSITION as the proxy reported it");
  }
  if (!options->floor || *options->floor < *floor) options->floor = floor;
  return Ok();
}

}  // namespace

Status SetSessionOption(std::string_view name, std::string_view value,
                        const Document& document, const Grant& grant,
                        SessionOptions* options) {
  if (name == "rank") return SetRank(value, document, grant, options);
  if (name == "max_staleness_ms") return SetStaleness(value, grant, options);
  if (name == "floor") return SetFloor(value, options);
  bool takes_name = name == "operation_key" || name == "session";
  if (!takes_name) return UnknownOption(name);
  bool may_be_empty = name == "operation_key";
  if (!IsPrintableName(value) && !(may_be_empty && value.empty())) {
    return InvalidValue(name, value,
                        "give 1 to 128 printable characters without blanks");
  }
  if (name == "session") {
    options->session = SessionId(std::string(value));
  } else {
    options->operation_key = OperationKey(std::string(value));
  }
  return Ok();
}

Result<std::string> ShowSessionOption(std::string_view name,
                                      const Document& document,
                                      const Grant& grant,
                                      const SessionOptions& options) {
  if (name == "rank") return RankLabel(document, EffectiveRank(grant, options));
  if (name == "max_staleness_ms") {
    return std::to_string(EffectiveStaleness(grant, options).ms());
  }
  if (name == "operation_key") return options.operation_key.value();
  if (name == "session") return options.session.value();
  if (name == "floor") {
    return options.floor ? ToString(*options.floor) : std::string();
  }
  return UnknownOption(name);
}

Rank EffectiveRank(const Grant& grant, const SessionOptions& options) {
  return std::max(grant.rank, options.rank.value_or(grant.rank));
}

Duration EffectiveStaleness(const Grant& grant, const SessionOptions& options) {
  if (!options.max_staleness) return grant.max_staleness;
  return IsStalenessLooser(*options.max_staleness, grant.max_staleness)
             ? grant.max_staleness
             : *options.max_staleness;
}

std::optional<Floor> ParseFloor(std::string_view text) {
  size_t slash = text.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  std::optional<uint64_t> term = ParseNumber<uint64_t>(text.substr(0, slash));
  std::optional<uint64_t> position =
      ParseNumber<uint64_t>(text.substr(slash + 1));
  if (!term || !position) return std::nullopt;
  return Floor{Term(*term), Position(*position)};
}

}  // namespace cardamomchute
