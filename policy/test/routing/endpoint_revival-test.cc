#include "cardamomchute/policy/routing/endpoint_revival.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute {
namespace {

constexpr Duration kInterval = Millis(1200);

EndpointRecord Record(uint64_t started_ms, uint64_t sequence) {
  EndpointRecord record;
  record.id = EndpointId("e");
  record.group = GroupId("g");
  record.address = Address{"10.0.0.1", static_cast<uint16_t>(started_ms)};
  record.started_ms = started_ms;
  record.sequence = sequence;
  return record;
}

EndpointRecord Gone(EndpointRecord record) {
  record.gone = true;
  return record;
}

/// What a control member knows of the endpoint "e".
struct Control {
  /// As the endpoint itself says it.
  void Hear(const EndpointRecord& announced, Time now) {
    Take(WithKnownRevivals(directory, announced), now);
  }
  /// As another member passes it on, or as it stands on a disk.
  void Take(const EndpointRecord& record, Time now) {
    DirectoryDelta delta;
    delta.endpoints = {record};
    DirectoryDelta revived;
    revived.endpoints = FindRevived(&evidence, directory, delta.endpoints, now);
    Merge(directory, delta, now);
    Merge(directory, revived, now);
    ExpireEvidence(&evidence, now);
  }
  /// The endpoint goes on announcing itself from `from` to `until`.
  void GoOn(EndpointRecord* record, Time from, Time until) {
    for (Time now = from; now <= until; now = now + kInterval) {
      ++record->sequence;
      Hear(*record, now);
    }
  }
  const EndpointRecord& Known() const {
    return directory.endpoints.at(EndpointId("e"));
  }

  Directory directory;
  RevivalEvidence evidence;
};

BOOST_AUTO_TEST_SUITE(endpoint_revival)

/// Guards against a live endpoint that counts as gone for good after a leave
/// that was not its own, and after one that a member or a disk tells again.
BOOST_AUTO_TEST_CASE(an_endpoint_that_goes_on_announcing_itself_comes_back) {
  Control control;
  EndpointRecord live = Record(10, 5);
  control.Hear(live, Time(0));
  EndpointRecord gone = Gone(live);
  control.Take(gone, Time(1));
  control.GoOn(&live, Time(1000), Time(1000) + kRevivalTime - Millis(1));
  BOOST_TEST(control.Known().gone);
  control.GoOn(&live, Time(4600), Time(4600));
  BOOST_TEST(!control.Known().gone);
  control.Take(gone, Time(5000));
  BOOST_TEST(!control.Known().gone);
  // Its own leave counts as before.
  control.Take(Gone(control.Known()), Time(6000));
  BOOST_TEST(control.Known().gone);
}

/// Guards against the same by an announcement under its own id, or by a wall
/// clock that has gone back while the endpoint restarted.
BOOST_AUTO_TEST_CASE(a_process_with_an_earlier_start_comes_back) {
  Control control;
  control.Hear(Record(20, 7), Time(0));
  EndpointRecord live = Record(10, 0);
  control.GoOn(&live, Time(1000), Time(3400));
  BOOST_TEST(control.Known().started_ms == 20u);
  control.GoOn(&live, Time(4600), Time(4600));
  BOOST_TEST(control.Known().started_ms == 10u);
  BOOST_TEST(control.Known().address.port == 10);
  BOOST_TEST(control.Known().revivals == 1u);
  // What another member still has does not hide it.
  control.Take(Record(20, 8), Time(5000));
  BOOST_TEST(control.Known().started_ms == 10u);
  // The next start replaces it.
  control.Hear(Record(30, 1), Time(6000));
  BOOST_TEST(control.Known().started_ms == 30u);
}

/// Guards against the same by an entry with its start and a number ahead of its
/// own.
BOOST_AUTO_TEST_CASE(an_endpoint_whose_number_another_one_used_comes_back) {
  Control control;
  EndpointRecord live = Record(10, 5);
  control.Hear(live, Time(0));
  EndpointRecord other = Record(10, 1'000'000);
  other.address = Address{"10.0.0.2", 9};
  control.Hear(other, Time(100));
  control.GoOn(&live, Time(1000), Time(3400));
  BOOST_TEST((control.Known().address == other.address));
  control.GoOn(&live, Time(4600), Time(4600));
  BOOST_TEST((control.Known().address == live.address));
  control.Take(other, Time(5000));
  BOOST_TEST((control.Known().address == live.address));
}

/// An announcement that another member passed on faster makes those before it
/// late, and they prove nothing.
BOOST_AUTO_TEST_CASE(announcements_out_of_order_revive_nobody) {
  Control control;
  for (uint64_t i = 0; i < 40; ++i) {
    Time now(static_cast<int64_t>(i * 300));
    control.Hear(Record(10, i ^ 1), now);
  }
  BOOST_TEST(control.Known().revivals == 0u);
  BOOST_TEST(control.Known().sequence == 39u);
}

/// A member that has not learned of a revival passes announcements on without
/// it. They are not ignored for good.
BOOST_AUTO_TEST_CASE(an_endpoint_that_a_member_knows_of_by_less_comes_back) {
  Control control;
  EndpointRecord live = Record(10, 5);
  live.revivals = 1;
  control.Take(Gone(live), Time(0));
  live.revivals = 0;
  for (Time now(1000); now <= Time(4600); now = now + kInterval) {
    BOOST_TEST(control.Known().gone);
    ++live.sequence;
    control.Take(live, now);
  }
  BOOST_TEST(!control.Known().gone);
  BOOST_TEST(control.Known().revivals == 2u);
}

/// An earlier process does not come back while the one that followed it goes
/// on, nor by announcements that were repeated or held up.
BOOST_AUTO_TEST_CASE(late_announcements_bring_no_process_back) {
  Control control;
  EndpointRecord later = Record(20, 1);
  control.Hear(later, Time(0));
  for (int i = 1; i < 20; ++i) {
    Time now(i * 1000);
    control.Hear(Record(10, static_cast<uint64_t>(i)), now);
    ++later.sequence;
    control.Hear(later, now + Millis(500));
  }
  BOOST_TEST(control.Known().started_ms == 20u);
  BOOST_TEST(control.Known().revivals == 0u);
  for (int i = 0; i < 10; ++i)
    control.Hear(Record(10, 90), Time(30'000 + i * 1000));
  BOOST_TEST(control.Known().started_ms == 20u);
  // Many that a partition held up arrive together.
  for (int i = 1; i < 30; ++i)
    control.Hear(Record(10, static_cast<uint64_t>(100 + i)),
                 Time(41'000 + i * 100));
  BOOST_TEST(control.Known().started_ms == 20u);
  // Two that are far apart are no series.
  control.Hear(Record(10, 191), Time(50'000));
  control.Hear(Record(10, 192), Time(50'001) + kMaxAnnouncementGap);
  BOOST_TEST(control.Known().started_ms == 20u);
}

/// Memory is bounded by the endpoints that were heard of not long ago.
BOOST_AUTO_TEST_CASE(evidence_is_dropped_when_a_series_ends) {
  Control control;
  control.Hear(Record(20, 1), Time(0));
  control.Hear(Record(10, 1), Time(1000));
  BOOST_TEST(control.evidence.series.size() == 1u);
  ExpireEvidence(&control.evidence, Time(1000) + kMaxAnnouncementGap);
  BOOST_TEST(control.evidence.series.size() == 1u);
  ExpireEvidence(&control.evidence, Time(1001) + kMaxAnnouncementGap);
  BOOST_TEST(control.evidence.series.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
