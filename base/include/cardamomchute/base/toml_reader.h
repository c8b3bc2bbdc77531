/// Reads TOML tables key by key and collects every fault on the way.
#ifndef CARDAMOMCHUTE_BASE_TOML_READER_H_
#define CARDAMOMCHUTE_BASE_TOML_READER_H_

#define TOML_EXCEPTIONS 0
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomchute/base/fault.h"
#include "cardamomchute/base/ids.h"

namespace cardamomchute {

/// The table, or one fault with the line of the syntax error.
std::optional<toml::table> ParseToml(std::string_view text,
                                     std::vector<Fault>* faults);

/// Both ends belong to the range.
struct NumberRange {
  double least = 0;
  double most = 0;
};

struct IntegerRange {
  int64_t min = 0;
  int64_t max = 0;
};

/// Reads one table. A key that is missing without a default, has the wrong
/// type or breaks its range becomes a fault; the value read is then the
/// default or an empty one.
///
///     TableReader reader(table, "", &faults);
///     std::string vm = reader.Text("vm", "name this VM, e.g. \"entry-1\"");
///     reader.Finish();
class TableReader {
 public:
  /// `path` is the table's own key with dots, empty for the top.
  TableReader(const toml::table& table, std::string path,
              std::vector<Fault>* faults);

  bool Has(std::string_view key) const;

  /// A text that must be there and not be empty.
  std::string Text(std::string_view key, std::string_view remedy);
  std::string TextOr(std::string_view key, std::string fallback);
  Address AddressAt(std::string_view key);
  std::optional<Address> OptionalAddressAt(std::string_view key);
  int64_t Integer(std::string_view key, IntegerRange range,
                  std::optional<int64_t> fallback);
  double Number(std::string_view key, NumberRange range, double fallback);
  /// A number from 0 to 1.
  double Share(std::string_view key, double fallback);
  bool BoolOr(std::string_view key, bool fallback);
  /// An array of texts that must be there and not be empty.
  std::vector<std::string> Texts(std::string_view key, std::string_view remedy);
  std::vector<std::string> TextsOr(std::string_view key,
                                   std::vector<std::string> fallback);

  /// A reader of the table under `key`; nothing when it is missing.
  std::optional<TableReader> Table(std::string_view key);
  /// Readers of the array of tables under `key`, in order.
  std::vector<TableReader> Tables(std::string_view key);

  /// Adds a fault at `key`, with its line if it is there, else the table's.
  void AddFault(std::string_view key, std::string what, std::string remedy);

  /// Adds a fault for every key that nobody asked for.
  void Finish();

 private:
  const toml::node* Find(std::string_view key);
  void AddMissing(std::string_view key, std::string_view remedy);
  void AddWrongType(std::string_view key, const toml::node& node,
                    std::string_view wanted);
  std::string PathOf(std::string_view key) const;

  const toml::table* table_;
  std::string path_;
  std::vector<Fault>* faults_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_BASE_TOML_READER_H_
