#include "cardamomchute/policy/group_copies.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute {
namespace {

MemberStatus Answer(const std::string& id, bool is_primary, uint64_t received) {
  MemberStatus answer;
  answer.endpoint.id = EndpointId(id);
  answer.answered = true;
  answer.is_primary = is_primary;
  answer.term = Term(1);
  answer.received = Floor{Term(1), Position(received)};
  return answer;
}

const EndpointId kPrimary("p");

BOOST_AUTO_TEST_SUITE(group_copies)

BOOST_AUTO_TEST_CASE(the_highest_position_of_a_replica_is_kept) {
  GroupCopies copies;
  MemberStatus silent;
  silent.endpoint.id = EndpointId("c");
  silent.received = Floor{Term(1), Position(30)};
  NoteReceived(&copies,
               {Answer("p", true, 20), Answer("a", false, 9), silent,
                Answer("b", false, 7)},
               kPrimary);
  BOOST_TEST(copies.seen.position.value() == 9u);
  NoteReceived(&copies, {Answer("p", false, 20), Answer("b", false, 8)},
               kPrimary);
  BOOST_TEST(copies.seen.position.value() == 9u);
  NoteConfirmed(&copies);
  BOOST_TEST((copies.seen == Floor()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
