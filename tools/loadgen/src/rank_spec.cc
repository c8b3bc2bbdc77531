#include "rank_spec.h"

#include <charconv>
#include <sstream>

namespace cardamomchute::loadgen {
namespace {

Error Malformed(const std::string& what) {
  return Error{ErrorKind::kInvalidInput, "ranks: " + what,
               "write NAME:FIELD=N,FIELD=N;NAME:... with the fields callers, "
               "reads, transactions, think_ms, rate, staleness_ms, target_ms"};
}

Status SetField(const std::string& field, double value, RankSpec* spec) {
  if (field == "callers") {
    spec->callers = static_cast<size_t>(value);
  } else if (field == "reads") {
    spec->reads = value;
  } else if (field == "transactions") {
    spec->transactions = value;
  } else if (field == "think_ms") {
    spec->think_ms = value;
  } else if (field == "rate") {
    spec->rate = value;
  } else if (field == "staleness_ms") {
    spec->staleness_ms = static_cast<int64_t>(value);
  } else if (field == "target_ms") {
    spec->target_ms = value;
  } else {
    return Malformed("no field " + field);
  }
  return Ok();
}

Result<RankSpec> ParseRank(const std::string& text) {
  RankSpec spec;
  size_t colon = text.find(':');
  spec.name = text.substr(0, colon);
  if (spec.name.empty()) return Malformed("a rank without a name");
  if (colon == std::string::npos) return spec;
  std::istringstream fields(text.substr(colon + 1));
  std::string field;
  while (std::getline(fields, field, ',')) {
    size_t equals = field.find('=');
    if (equals == std::string::npos) return Malformed("no value in " + field);
    double value = 0;
    const char* end = field.data() + field.size();
    std::from_chars_result r =
        std::from_chars(field.data() + equals + 1, end, value);
    if (r.ec != std::errc() || r.ptr != end) {
      return Malformed("no number in " + field);
    }
    BOOST_OUTCOME_TRY(SetField(field.substr(0, equals), value, &spec));
  }
  return spec;
}

}  // namespace

Result<std::vector<RankSpec>> ParseRanks(const std::string& text) {
  std::vector<RankSpec> ranks;
  std::istringstream parts(text);
  std::string part;
  while (std::getline(parts, part, ';')) {
    if (part.empty()) continue;
    BOOST_OUTCOME_TRY(spec, ParseRank(part));
    ranks.push_back(std::move(spec));
  }
  if (ranks.empty()) return Malformed("none given");
  return ranks;
}

}  // namespace cardamomchute::loadgen
