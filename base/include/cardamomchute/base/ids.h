/// Strong types for names, numbers and units, so that none stands for another.
#ifndef CARDAMOMCHUTE_BASE_IDS_H_
#define CARDAMOMCHUTE_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace cardamomchute {

/// A name that only compares with names of its own kind.
template <typename Tag>
class StrongString {
 public:
  StrongString() = default;
  explicit StrongString(std::string value) : value_(std::move(value)) {}
  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const StrongString&, const StrongString&) = default;
  friend std::ostream& operator<<(std::ostream& out, const StrongString& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

/// A number that only compares with numbers of its own kind.
template <typename Tag>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(uint64_t value) : value_(value) {}
  constexpr uint64_t value() const { return value_; }
  constexpr StrongNumber Next() const { return StrongNumber(value_ + 1); }

  friend constexpr auto operator<=>(StrongNumber, StrongNumber) = default;
  friend std::ostream& operator<<(std::ostream& out, StrongNumber n) {
    return out << n.value_;
  }

 private:
  uint64_t value_ = 0;
};

using VmId = StrongString<struct VmTag>;
using Zone = StrongString<struct ZoneTag>;
using Environment = StrongString<struct EnvironmentTag>;
using GroupId = StrongString<struct GroupTag>;
using EndpointId = StrongString<struct EndpointTag>;
using RankName = StrongString<struct RankNameTag>;
using SessionId = StrongString<struct SessionTag>;
using OperationKey = StrongString<struct OperationKeyTag>;
/// Names one submission of an operator; a resend carries the same.
using SubmissionId = StrongString<struct SubmissionTag>;

/// A primary's reign: PostgreSQL's timeline.
using Term = StrongNumber<struct TermTag>;
/// A place in a term's log: PostgreSQL's LSN in bytes.
using Position = StrongNumber<struct PositionTag>;
/// Counts the owners of one group; a later one fences the earlier.
using Epoch = StrongNumber<struct EpochTag>;
/// Counts the accepted documents of one environment, from 1.
using Version = StrongNumber<struct VersionTag>;
/// Counts the changes to the control state as a whole.
using Revision = StrongNumber<struct RevisionTag>;
/// Place in the document's list of ranks; 0 is the most urgent.
using Rank = StrongNumber<struct RankTag>;

/// A place in a group's history. Orders by term, then by position.
struct Floor {
  Term term;
  Position position;

  friend auto operator<=>(const Floor&, const Floor&) = default;
};

/// An IP number (or name) and a TCP port.
struct Address {
  std::string host;
  uint16_t port = 0;

  friend auto operator<=>(const Address&, const Address&) = default;
};

/// "host:port" or "[v6]:port", as in settings and log lines.
std::string ToString(const Address& address);

/// "term/position" in decimal, as callers see and hand over their floor.
std::string ToString(const Floor& floor);

}  // namespace cardamomchute

template <typename Tag>
struct std::hash<cardamomchute::StrongString<Tag>> {
  size_t operator()(const cardamomchute::StrongString<Tag>& id) const {
    return std::hash<std::string>()(id.value());
  }
};

template <typename Tag>
struct std::hash<cardamomchute::StrongNumber<Tag>> {
  size_t operator()(cardamomchute::StrongNumber<Tag> n) const {
    return std::hash<uint64_t>()(n.value());
  }
};

#endif  // CARDAMOMCHUTE_BASE_IDS_H_
