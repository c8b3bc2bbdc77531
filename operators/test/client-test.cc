#include "cardamomchute/operators/client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include "fake_operator_api.h"

namespace cardamomchute {
namespace {

Submission Sample(uint64_t replaces, const std::string& id) {
  return Submission{Environment("trial"), Version(replaces), SubmissionId(id),
                    "ann", std::string(kSampleDocument)};
}

/// An address where nobody listens.
Address ClosedAddress() {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(
      io, {boost::asio::ip::address_v4::loopback(), 0});
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_next_server_is_tried) {
  FakeOperatorApi api;
  Client client{{ClosedAddress(), api.address()}};
  Result<SubmitOutcome> outcome = Submit(client, Sample(0, "a"));
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(outcome.value().version == Version(1));
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_asked_for_again_with_the_same_id) {
  FakeOperatorApi api;
  api.LoseAnswers(2);
  Client client{{api.address()}};
  SubmitOutcome outcome = Submit(client, Sample(0, "a")).value();
  BOOST_TEST(outcome.version == Version(1));
  BOOST_TEST(outcome.repeated);
  BOOST_TEST(api.sent() == 3U);
  BOOST_TEST(GetHistory(client, Environment("trial")).value().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_conflict_is_not_repeated) {
  FakeOperatorApi api;
  Client client{{api.address()}};
  Result<SubmitOutcome> outcome = Submit(client, Sample(5, "a"));
  BOOST_REQUIRE(!outcome.has_value());
  BOOST_TEST((outcome.error().kind == ErrorKind::kConflict));
  BOOST_TEST(api.sent() == 1U);
}

BOOST_AUTO_TEST_CASE(unreachable_and_unknown_outcomes_are_told_apart) {
  Client nobody{{ClosedAddress()}, Seconds(1), Millis(300)};
  BOOST_TEST(
      (Submit(nobody, Sample(0, "a")).error().kind == ErrorKind::kUnavailable));
  FakeOperatorApi api;
  api.LoseAnswers(1'000'000);
  Client unlucky{{api.address(), ClosedAddress()}, Seconds(1), Millis(300)};
  BOOST_TEST(
      (Submit(unlucky, Sample(0, "a")).error().kind == ErrorKind::kTimeout));
}

BOOST_AUTO_TEST_CASE(a_promotion_carries_the_text_over) {
  FakeOperatorApi api;
  Client client{{api.address()}};
  BOOST_REQUIRE(Submit(client, Sample(0, "a")).has_value());
  Promotion promotion{Environment("trial"), Environment("production"),
                      Version(1),           Version(),
                      SubmissionId("b"),    "ann"};
  BOOST_REQUIRE(Promote(client, promotion).has_value());
  std::vector<DocumentRecord> history =
      GetHistory(client, Environment("production")).value();
  BOOST_REQUIRE(history.size() == 1U);
  BOOST_TEST(history[0].text == kSampleDocument);
  StatusReport status = GetStatus(client, Environment("production")).value();
  BOOST_TEST(status.view.document->version == Version(1));
}

}  // namespace cardamomchute
