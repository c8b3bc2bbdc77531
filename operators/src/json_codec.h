/// What all JSON codecs share.
#ifndef CARDAMOMCHUTE_OPERATORS_SRC_JSON_CODEC_H_
#define CARDAMOMCHUTE_OPERATORS_SRC_JSON_CODEC_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/json_nesting.h"

namespace cardamomchute {

template <typename Tag>
void to_json(nlohmann::json& json, const StrongString<Tag>& id) {
  json = id.value();
}

template <typename Tag>
void from_json(const nlohmann::json& json, StrongString<Tag>& id) {
  id = StrongString<Tag>(json.get<std::string>());
}

template <typename Tag>
void to_json(nlohmann::json& json, const StrongNumber<Tag>& number) {
  json = number.value();
}

template <typename Tag>
void from_json(const nlohmann::json& json, StrongNumber<Tag>& number) {
  if (!json.is_number_unsigned())
    throw std::invalid_argument("not a number from 0 on");
  number = StrongNumber<Tag>(json.get<uint64_t>());
}

/// Text that is not UTF-8 is sent with replacement characters.
std::string Dump(const nlohmann::json& json);

/// Parses `text` and reads it with `read`; kInvalidInput when either fails.
template <typename T, typename Read>
Result<T> DecodeWith(std::string_view text, Read read) {
  if (!NestedWithinLimit(text)) {
    return Error{ErrorKind::kInvalidInput, "nested too deeply",
                 "see docs/operators/ for the keys and their types"};
  }
  try {
    return read(nlohmann::json::parse(text));
  } catch (const std::exception& e) {
    return Error{ErrorKind::kInvalidInput,
                 std::string("not the JSON expected here: ") + e.what(),
                 "see docs/operators/ for the keys and their types"};
  }
}

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_OPERATORS_SRC_JSON_CODEC_H_
