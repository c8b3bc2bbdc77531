#include "cardamomchute/operators/json.h"

#include <boost/test/unit_test.hpp>

#include "sample_document.h"
#include "sample_status.h"

namespace cardamomchute {

BOOST_AUTO_TEST_CASE(a_submission_survives_json) {
  Submission sent{Environment("trial"), Version(3), SubmissionId("id-1"), "ann",
                  "title = \"x\"\n"};
  Submission got =
      DecodeSubmission(EncodeSubmission(sent), sent.environment).value();
  BOOST_TEST(got.environment == sent.environment);
  BOOST_TEST(got.replaces == sent.replaces);
  BOOST_TEST(got.id == sent.id);
  BOOST_TEST(got.submitter == sent.submitter);
  BOOST_TEST(got.text == sent.text);
}

BOOST_AUTO_TEST_CASE(a_promotion_survives_json) {
  Promotion sent{Environment("trial"), Environment("production"), Version(3),
                 Version(2),           SubmissionId("id-2"),      "ann"};
  Promotion got = DecodePromotion(EncodePromotion(sent), sent.to).value();
  BOOST_TEST(got.from == sent.from);
  BOOST_TEST(got.to == sent.to);
  BOOST_TEST(got.from_version == sent.from_version);
  BOOST_TEST(got.replaces == sent.replaces);
  BOOST_TEST(got.id == sent.id);
}

BOOST_AUTO_TEST_CASE(a_status_survives_json) {
  StatusReport sent = SampleStatus();
  StatusReport got = DecodeStatus(EncodeStatus(sent)).value();
  BOOST_TEST(EncodeStatus(got) == EncodeStatus(sent));
  BOOST_TEST(got.view.document->document.title == "Job tickets");
  const GroupState& group = got.view.groups.at(GroupId("tickets1"));
  BOOST_TEST(group.owner.value() == "entry-1");
  BOOST_TEST(group.failover->candidate.value() == "tickets1-b");
}

BOOST_AUTO_TEST_CASE(a_history_survives_json) {
  std::vector<DocumentRecord> sent = {
      {Version(1), "aa", "ann", "submit", "text"}};
  std::vector<DocumentRecord> got = DecodeHistory(EncodeHistory(sent)).value();
  BOOST_REQUIRE(got.size() == 1U);
  BOOST_TEST(got[0].origin == "submit");
  BOOST_TEST(got[0].text == "text");
}

BOOST_AUTO_TEST_CASE(an_announcement_survives_json) {
  EndpointAnnouncement sent;
  sent.environment = Environment("production");
  sent.announcement.endpoint =
      EndpointState{EndpointId("tickets1-a"), GroupId("tickets1"),
                    Address{"127.0.0.1", 5500}, Zone("waikato-a"), true};
  sent.announcement.ttl = Seconds(3);
  EndpointAnnouncement got =
      DecodeAnnouncement(EncodeAnnouncement(sent)).value();
  BOOST_TEST(EncodeAnnouncement(got) == EncodeAnnouncement(sent));
  BOOST_TEST(got.announcement.endpoint.leaving);
}

BOOST_AUTO_TEST_CASE(errors_keep_their_kind) {
  Error sent{ErrorKind::kConflict, "version 4 came first", "read it"};
  Error got = DecodeError(EncodeError(sent));
  BOOST_TEST((got.kind == ErrorKind::kConflict));
  BOOST_TEST(got.message == sent.message);
  BOOST_TEST(got.remedy == sent.remedy);
  BOOST_TEST((DecodeError("<html>").kind == ErrorKind::kProtocol));
}

BOOST_AUTO_TEST_CASE(wrong_shapes_are_invalid_input) {
  Environment trial("trial");
  for (const char* text :
       {"", "[]", "7", "{}", "{\"replaces\":-1}",
        "{\"replaces\":1,\"submission_id\":\"\",\"submitter\":\"a\","
        "\"text\":\"\"}"}) {
    Result<Submission> got = DecodeSubmission(text, trial);
    BOOST_REQUIRE_MESSAGE(!got.has_value(), text);
    BOOST_TEST((got.error().kind == ErrorKind::kInvalidInput));
  }
  BOOST_TEST(!DecodeAnnouncement("{\"id\":7}").has_value());
}

}  // namespace cardamomchute
