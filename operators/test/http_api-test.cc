#include "cardamomchute/operators/http_api.h"

#include <boost/test/unit_test.hpp>

#include "cardamomchute/http/http_client.h"
#include "cardamomchute/operators/json.h"
#include "fake_operator_api.h"

namespace cardamomchute {
namespace {

constexpr const char* kAnnouncement =
    R"({"id":"tickets1-a","group":"tickets1","environment":"production",)"
    R"("address":"127.0.0.1:5500","zone":"waikato-a","ttl_ms":3000})";

struct Fixture {
  FakeOperatorApi api;

  HttpResponse Post(const std::string& target, const std::string& body) {
    return CallHttp(api.address(), "POST", target, body, Seconds(20)).value();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(announcements_reach_the_sink, Fixture) {
  BOOST_TEST(Post("/v1/announce", kAnnouncement).status == 200U);
  BOOST_REQUIRE(api.announced().size() == 1U);
  Announcement given = api.announced()[0];
  BOOST_TEST(given.endpoint.id.value() == "tickets1-a");
  BOOST_TEST(ToString(given.endpoint.address) == "127.0.0.1:5500");
  BOOST_TEST(given.ttl.ms() == 3000);
  BOOST_TEST(!given.endpoint.leaving);
}

BOOST_FIXTURE_TEST_CASE(wrong_announcements_are_refused, Fixture) {
  std::string other = kAnnouncement;
  other.replace(other.find("production"), 10, "trial");
  HttpResponse response = Post("/v1/announce", other);
  BOOST_TEST(response.status == 409U);
  BOOST_TEST(!DecodeError(response.body).remedy.empty());
  std::string endless = kAnnouncement;
  endless.replace(endless.find("3000"), 4, "3000000");
  BOOST_TEST(Post("/v1/announce", endless).status == 400U);
  BOOST_TEST(Post("/v1/announce", "\x01\x02").status == 400U);
  BOOST_TEST(api.announced().empty());
}

BOOST_FIXTURE_TEST_CASE(a_document_with_faults_never_reaches_control, Fixture) {
  Submission submission{Environment("trial"), Version(), SubmissionId("a"),
                        "ann", "title = 7"};
  HttpResponse response =
      Post("/v1/environments/trial/submit", EncodeSubmission(submission));
  BOOST_TEST(response.status == 400U);
  Error error = DecodeError(response.body);
  BOOST_TEST(error.message.find("line 1: title") != std::string::npos);
  BOOST_TEST(api.sent() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_conflict_has_its_own_status, Fixture) {
  Submission submission{Environment("trial"), Version(7), SubmissionId("a"),
                        "ann", std::string(kSampleDocument)};
  HttpResponse response =
      Post("/v1/environments/trial/submit", EncodeSubmission(submission));
  BOOST_TEST(response.status == 409U);
  BOOST_TEST((DecodeError(response.body).kind == ErrorKind::kConflict));
}

}  // namespace cardamomchute
