#include "cardamomchute/policy/primary_lease.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace cardamomchute {
namespace {

const GroupId kGroup("g");
const EndpointId kFirst("e0");
const EndpointId kSecond("e1");

BOOST_AUTO_TEST_SUITE(primary_lease)

BOOST_AUTO_TEST_CASE(a_lease_counts_from_its_request) {
  HeldLease lease = ExtendLease(HeldLease(), kFirst, Time(1000), Millis(500));
  BOOST_TEST(LeaseCovers(lease, kFirst, Time(1499), Duration()));
  BOOST_TEST(!LeaseCovers(lease, kFirst, Time(1500), Duration()));
  BOOST_TEST(LeaseCovers(lease, kFirst, Time(1600), Millis(200)));
  BOOST_TEST(!LeaseCovers(lease, kSecond, Time(1100), Duration()));
  BOOST_TEST(!LeaseCovers(lease, kFirst, Time(999), Millis(200)));
}

BOOST_AUTO_TEST_CASE(a_lease_that_lapsed_starts_anew) {
  HeldLease lease = ExtendLease(HeldLease(), kFirst, Time(1000), Millis(500));
  lease = ExtendLease(lease, kFirst, Time(1400), Millis(500));
  BOOST_TEST((lease.since == Time(1000)));
  lease = ExtendLease(lease, kFirst, Time(2000), Millis(500));
  BOOST_TEST((lease.since == Time(2000)));
  lease = ExtendLease(lease, kSecond, Time(2100), Millis(500));
  BOOST_TEST((lease.since == Time(2100)));
  BOOST_TEST(!LeaseCovers(lease, kFirst, Time(2200), Duration()));
}

BOOST_AUTO_TEST_CASE(a_lease_on_another_term_starts_anew) {
  HeldLease lease =
      ExtendLease(HeldLease(), kFirst, Time(1000), Millis(500), Term(1));
  lease = ExtendLease(lease, kFirst, Time(1200), Millis(500), Term(1));
  BOOST_TEST((lease.since == Time(1000)));
  lease = ExtendLease(lease, kFirst, Time(1300), Millis(500), Term(2));
  BOOST_TEST((lease.since == Time(1300)));
  BOOST_TEST((lease.term == Term(2)));
}

BOOST_AUTO_TEST_CASE(an_answer_to_an_older_request_shortens_nothing) {
  HeldLease lease = ExtendLease(HeldLease(), kFirst, Time(1000), Millis(500));
  lease = ExtendLease(lease, kFirst, Time(900), Millis(500));
  BOOST_TEST((lease.until == Time(1500)));
}

BOOST_AUTO_TEST_CASE(a_new_leader_waits_for_the_leases_of_the_last) {
  LeaseLedger ledger;
  RecordGrants(ledger, {Time(9000), {{kGroup, kFirst}}});
  BeginLeadership(ledger, Time(5000));
  BOOST_TEST((LeasesEnd(ledger, kGroup) == Time(5000) + kPrimaryLease));
  RecordGrants(ledger, {Time(6000), {{kGroup, kFirst}}});
  BOOST_TEST((LeasesEnd(ledger, kGroup) == Time(6000)));
  BOOST_TEST(
      (LeasesEnd(ledger, GroupId("other")) == Time(5000) + kPrimaryLease));
}

/// What a schedule gets wrong on purpose, to show that schedules find it.
enum class Planted {
  kNothing,
  kCountsFromReceipt,  ///< a relay counts its lease from the answer
  kIgnoresEarlier,     ///< a new leader does not wait for earlier leases
  kChecksBeforeWait    ///< a request to promote is checked, then delayed
};

/// Two control leaders, one after the other, a member between them and a relay,
/// and a relay that uses the primary. Any of them may be frozen between any two
/// steps, and each message takes its own time. All clocks run at the same rate.
class Schedule {
 public:
  Schedule(uint64_t seed, Planted planted)
      : random_(seed * 0x9E3779B97F4A7C15ULL + 1), planted_(planted) {
    BeginLeadership(ledgers_[0], Time());
    BeginLeadership(ledgers_[1], Time());
  }

  /// Returns whether no relay could use the first primary once the second one
  /// was in use, and requests to promote left in the order of their tokens.
  bool Holds() {
    elected_ = Time(1000 + Draw(1500));
    // The first leader may replace the primary, or die before.
    replaced_by_first_ = Draw(2) == 0;
    Time stop(500 + Draw(2000));
    replaced_by_first_ = replaced_by_first_ && stop < elected_;
    if (replaced_by_first_) {
      Replace(0, stop);
    } else {
      Replace(1, elected_ + Millis(Draw(800)));
    }
    for (int i = 0; i < 40; ++i) Lease(Time(Draw(4000)));
    Promote(0, Time(Draw(2500)));
    Promote(1, elected_ + Millis(Draw(1500)));
    return in_use_ >= last_use_ && tokens_in_order_;
  }

 private:
  int64_t Draw(int64_t below) {
    random_ ^= random_ << 13;
    random_ ^= random_ >> 7;
    random_ ^= random_ << 17;
    return static_cast<int64_t>(random_ % static_cast<uint64_t>(below));
  }
  /// Time of a message or a step; one in six meets a freeze.
  Duration Delay() { return Millis(Draw(6) == 0 ? Draw(3000) : Draw(30)); }

  /// Leader `i` stops granting at `stop`, and uses the second primary as soon
  /// as the leases that it knows of have ended. Leases are drawn afterwards, so
  /// the ledger is asked last.
  void Replace(size_t i, Time stop) {
    stopped_[i] = stop;
    Lease(stop - Millis(1));
    Time ready = stop + Millis(Draw(400));
    bool waits = planted_ != Planted::kIgnoresEarlier || i == 0;
    replaced_at_ = ready;
    replacer_ = i;
    waits_ = waits;
    UpdateUse();
  }
  void UpdateUse() {
    if (!replacer_) return;
    LeaseLedger ledger = ledgers_[*replacer_];
    if (*replacer_ == 1 && waits_)
      ledger.inherited = LeaseEnd(elected_);
    else if (*replacer_ == 1)
      ledger.inherited = Time();
    in_use_ = std::max(replaced_at_, LeasesEnd(ledger, kGroup));
  }

  /// One lease: relay -> member -> leader and back, each step delayed.
  void Lease(Time relay_asked) {
    Time member_asked = relay_asked + Delay();
    Time leader_at = member_asked + Delay();
    size_t i = leader_at < elected_ || Draw(3) == 0 ? 0 : 1;
    if (i == 1 && leader_at < elected_) return;
    // A leader grants by its last confirmation, which precedes the election of
    // the next.
    Time confirmed = leader_at - Millis(Draw(200));
    if (i == 0) confirmed = std::min(confirmed, elected_ - Millis(1));
    GrantableLeases leases{LeaseEnd(confirmed), {{kGroup, kFirst}}};
    bool granting = leader_at < stopped_[i] && leader_at < leases.until;
    if (!granting || (i == 1 && replaced_by_first_)) return;
    RecordGrants(ledgers_[i], leases);
    UpdateUse();
    Time delegated = member_asked + (leases.until - leader_at);
    Time member_at = leader_at + Delay();
    if (member_at >= delegated) return;
    Time received = member_at + Delay();
    bool wrong = planted_ == Planted::kCountsFromReceipt;
    HeldLease held =
        ExtendLease(HeldLease(), kFirst, wrong ? received : relay_asked,
                    delegated - member_at);
    if (received < held.until) last_use_ = std::max(last_use_, held.until);
  }

  /// A request to promote of leader `i`, written at some time after its check.
  void Promote(size_t i, Time confirmed) {
    if (i == 0) confirmed = std::min(confirmed, elected_ - Millis(1));
    Time due = confirmed + Delay();
    if (i == 1) due = std::max(due, LeaseEnd(elected_));
    Time written = due + Delay();
    Time checked = planted_ == Planted::kChecksBeforeWait ? due : written;
    bool sent = i == 1 || checked < LeaseEnd(confirmed);
    if (!sent) return;
    if (i == 0) first_written_ = written;
    if (i == 1 && first_written_ && *first_written_ > written)
      tokens_in_order_ = false;
  }

  uint64_t random_;
  Planted planted_;
  Time elected_;
  LeaseLedger ledgers_[2];
  Time stopped_[2] = {Time(1 << 20), Time(1 << 20)};
  bool replaced_by_first_ = false;
  std::optional<size_t> replacer_;
  Time replaced_at_;
  bool waits_ = true;
  Time in_use_ = Time(1 << 20);
  Time last_use_;
  std::optional<Time> first_written_;
  bool tokens_in_order_ = true;
};

constexpr uint64_t kSchedules = 4000;

uint64_t Broken(Planted planted) {
  uint64_t broken = 0;
  for (uint64_t seed = 1; seed <= kSchedules; ++seed) {
    if (!Schedule(seed, planted).Holds()) ++broken;
  }
  return broken;
}

BOOST_AUTO_TEST_CASE(no_schedule_uses_two_primaries_at_once) {
  BOOST_TEST(Broken(Planted::kNothing) == 0u);
}

BOOST_AUTO_TEST_CASE(schedules_find_planted_faults) {
  BOOST_TEST(Broken(Planted::kCountsFromReceipt) > 0u);
  BOOST_TEST(Broken(Planted::kIgnoresEarlier) > 0u);
  BOOST_TEST(Broken(Planted::kChecksBeforeWait) > 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
