#include "cardamomchute/policy/routing/endpoint_leave.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute {
namespace {

constexpr Time kNow(100'000);
constexpr uint64_t kStartMs = 20;

EndpointRecord Known(bool gone = false) {
  EndpointRecord record;
  record.id = EndpointId("e");
  record.started_ms = kStartMs;
  record.gone = gone;
  return record;
}

LeaveEffect Effect(std::optional<uint64_t> started_ms, bool gone,
                   std::optional<Duration> leaving_for = std::nullopt) {
  EndpointRecord known = Known(gone);
  std::optional<Time> since;
  if (leaving_for) since = kNow - *leaving_for;
  return EffectOf({known.id, started_ms}, &known, since, kNow);
}

BOOST_AUTO_TEST_SUITE(endpoint_leave)

BOOST_AUTO_TEST_CASE(a_leave_ends_the_process_that_it_names) {
  BOOST_TEST((Effect(kStartMs, false) == LeaveEffect::kEnds));
  BOOST_TEST((Effect(kStartMs, true) == LeaveEffect::kNone));
  BOOST_TEST((Effect(kStartMs - 1, false) == LeaveEffect::kLate));
  BOOST_TEST((Effect(kStartMs + 1, false) == LeaveEffect::kOther));
  BOOST_TEST((EffectOf({EndpointId("e"), kStartMs}, nullptr, std::nullopt,
                       kNow) == LeaveEffect::kNone));
}

BOOST_AUTO_TEST_CASE(a_leave_without_a_start_ends_who_has_been_leaving) {
  BOOST_TEST((Effect(std::nullopt, false) == LeaveEffect::kOther));
  BOOST_TEST((Effect(std::nullopt, false, kLeavingUse - Millis(1)) ==
              LeaveEffect::kOther));
  BOOST_TEST((Effect(std::nullopt, false, kLeavingUse) == LeaveEffect::kEnds));
  BOOST_TEST((Effect(std::nullopt, true) == LeaveEffect::kNone));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
