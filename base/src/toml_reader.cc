#include "cardamomchute/base/toml_reader.h"

#include <sstream>

#include "cardamomchute/base/settings.h"

namespace cardamomchute {
namespace {

constexpr std::string_view kAddressRemedy =
    "write \"IP:port\", e.g. \"10.0.0.5:7001\"";

uint32_t LineOf(const toml::node& node) { return node.source().begin.line; }

std::string_view TypeName(const toml::node& node) {
  switch (node.type()) {
    case toml::node_type::table:
      return "a table";
    case toml::node_type::array:
      return "an array";
    case toml::node_type::string:
      return "a text";
    case toml::node_type::integer:
      return "an integer";
    case toml::node_type::floating_point:
      return "a number with a fraction";
    case toml::node_type::boolean:
      return "a boolean";
    default:
      return "a date or time";
  }
}

}  // namespace

std::optional<toml::table> ParseToml(std::string_view text,
                                     std::vector<Fault>* faults) {
  toml::parse_result parsed = toml::parse(text);
  if (parsed) return std::move(parsed).table();
  const toml::parse_error& error = parsed.error();
  faults->push_back(Fault{"", error.source().begin.line,
                          std::string(error.description()),
                          "correct the TOML syntax there"});
  return std::nullopt;
}

TableReader::TableReader(const toml::table& table, std::string path,
                         std::vector<Fault>* faults)
    : table_(&table), path_(std::move(path)), faults_(faults) {}

bool TableReader::Has(std::string_view key) const {
  return table_->contains(key);
}

std::string TableReader::Text(std::string_view key, std::string_view remedy) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    AddMissing(key, remedy);
    return "";
  }
  const toml::value<std::string>* text = node->as_string();
  if (text == nullptr) {
    AddWrongType(key, *node, "a text");
    return "";
  }
  if (text->get().empty()) AddFault(key, "is empty", std::string(remedy));
  return text->get();
}

std::string TableReader::TextOr(std::string_view key, std::string fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) return fallback;
  const toml::value<std::string>* text = node->as_string();
  if (text != nullptr) return text->get();
  AddWrongType(key, *node, "a text");
  return fallback;
}

Address TableReader::AddressAt(std::string_view key) {
  if (!Has(key)) {
    AddMissing(key, kAddressRemedy);
    known_.emplace(key);
    return Address{};
  }
  return OptionalAddressAt(key).value_or(Address{});
}

std::optional<Address> TableReader::OptionalAddressAt(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) return std::nullopt;
  const toml::value<std::string>* text = node->as_string();
  if (text == nullptr) {
    AddWrongType(key, *node, "a text");
    return std::nullopt;
  }
  std::optional<Address> address = ParseAddress(text->get());
  if (!address) {
    AddFault(key, "\"" + text->get() + "\" is not an address",
             std::string(kAddressRemedy));
  }
  return address;
}

int64_t TableReader::Integer(std::string_view key, IntegerRange range,
                             std::optional<int64_t> fallback) {
  std::string remedy = "write an integer from " + std::to_string(range.min) +
                       " to " + std::to_string(range.max);
  const toml::node* node = Find(key);
  if (node == nullptr) {
    if (!fallback) AddMissing(key, remedy);
    return fallback.value_or(range.min);
  }
  const toml::value<int64_t>* number = node->as_integer();
  if (number == nullptr) {
    AddWrongType(key, *node, "an integer");
    return fallback.value_or(range.min);
  }
  if (number->get() < range.min || number->get() > range.max) {
    AddFault(key, std::to_string(number->get()) + " is out of range", remedy);
    return fallback.value_or(range.min);
  }
  return number->get();
}

double TableReader::Number(std::string_view key, NumberRange range,
                           double fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) return fallback;
  std::ostringstream allowed;
  allowed << "a number from " << range.least << " to " << range.most;
  std::optional<double> number = node->value<double>();
  if (!number || !node->is_number()) {
    AddWrongType(key, *node, allowed.str());
    return fallback;
  }
  bool in_range = *number >= range.least && *number <= range.most;
  if (in_range) return *number;
  AddFault(key, "is out of range", "write " + allowed.str());
  return fallback;
}

double TableReader::Share(std::string_view key, double fallback) {
  return Number(key, {0, 1}, fallback);
}

bool TableReader::BoolOr(std::string_view key, bool fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) return fallback;
  const toml::value<bool>* value = node->as_boolean();
  if (value != nullptr) return value->get();
  AddWrongType(key, *node, "true or false");
  return fallback;
}

std::vector<std::string> TableReader::Texts(std::string_view key,
                                            std::string_view remedy) {
  if (!Has(key)) {
    AddMissing(key, remedy);
    known_.emplace(key);
    return {};
  }
  return TextsOr(key, {});
}

std::vector<std::string> TableReader::TextsOr(
    std::string_view key, std::vector<std::string> fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) return fallback;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    AddWrongType(key, *node, "an array of texts, e.g. [\"*\"]");
    return fallback;
  }
  std::vector<std::string> texts;
  for (const toml::node& item : *array) {
    const toml::value<std::string>* text = item.as_string();
    if (text == nullptr || text->get().empty()) {
      faults_->push_back(Fault{PathOf(key), LineOf(item),
                               "holds an item that is not a text",
                               "write non-empty texts only"});
      continue;
    }
    texts.push_back(text->get());
  }
  if (array->empty()) AddFault(key, "is empty", "name at least one item");
  return texts;
}

std::optional<TableReader> TableReader::Table(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) return std::nullopt;
  const toml::table* table = node->as_table();
  if (table != nullptr) return TableReader(*table, PathOf(key), faults_);
  AddWrongType(key, *node, "a table [" + PathOf(key) + "]");
  return std::nullopt;
}

std::vector<TableReader> TableReader::Tables(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) return {};
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    AddWrongType(key, *node, "an array of tables [[" + PathOf(key) + "]]");
    return {};
  }
  std::vector<TableReader> readers;
  for (size_t i = 0; i < array->size(); ++i) {
    const toml::node& item = *array->get(i);
    std::string path = PathOf(key) + "[" + std::to_string(i) + "]";
    const toml::table* table = item.as_table();
    if (table == nullptr) {
      faults_->push_back(
          Fault{path, LineOf(item), "is not a table",
                "write [[" + PathOf(key) + "]] and its keys below"});
      continue;
    }
    readers.emplace_back(*table, path, faults_);
  }
  return readers;
}

void TableReader::AddFault(std::string_view key, std::string what,
                           std::string remedy) {
  const toml::node* node = table_->get(key);
  uint32_t line = node != nullptr ? LineOf(*node) : LineOf(*table_);
  faults_->push_back(
      Fault{PathOf(key), line, std::move(what), std::move(remedy)});
}

void TableReader::Finish() {
  std::string keys;
  for (const std::string& key : known_)
    keys += (keys.empty() ? "" : ", ") + key;
  for (auto it = table_->begin(); it != table_->end(); ++it) {
    std::string_view key = it->first.str();
    if (known_.contains(key)) continue;
    faults_->push_back(Fault{PathOf(key), it->first.source().begin.line,
                             "is no known key",
                             "remove it, or write one of " + keys});
  }
}

const toml::node* TableReader::Find(std::string_view key) {
  known_.emplace(key);
  return table_->get(key);
}

void TableReader::AddMissing(std::string_view key, std::string_view remedy) {
  uint32_t line = path_.empty() ? 0 : LineOf(*table_);
  faults_->push_back(
      Fault{PathOf(key), line, "is missing", std::string(remedy)});
}

void TableReader::AddWrongType(std::string_view key, const toml::node& node,
                               std::string_view wanted) {
  faults_->push_back(Fault{PathOf(key), LineOf(node),
                           "is " + std::string(TypeName(node)),
                           "write " + std::string(wanted)});
}

std::string TableReader::PathOf(std::string_view key) const {
  if (path_.empty()) return std::string(key);
  if (key.empty()) return path_;
  return path_ + "." + std::string(key);
}

}  // namespace cardamomchute
