#include "answer_watcher.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "cardamomchute/pgwire/message.h"

namespace cardamomchute {

/// However the bytes are cut, the events are the same.
BOOST_AUTO_TEST_CASE(events_do_not_depend_on_the_pieces) {
  std::string answer = pgwire::Builder().Begin('1').End().Take() +
                       pgwire::DataRow({std::string("C\0\0\0\4E", 6), "1"}) +
                       pgwire::CommandComplete("SELECT 1") +
                       pgwire::Builder().Begin('s').End().Take() +
                       pgwire::Builder().Begin('I').End().Take() +
                       pgwire::ErrorResponse(pgwire::Report());
  std::vector<AnswerEvent> expected = {
      AnswerEvent::kParsed, AnswerEvent::kCompleted, AnswerEvent::kCompleted,
      AnswerEvent::kCompleted, AnswerEvent::kFailed};
  for (size_t size = 1; size <= answer.size(); ++size) {
    AnswerWatcher watcher;
    std::vector<AnswerEvent> events;
    for (size_t at = 0; at < answer.size(); at += size) {
      watcher.Feed(answer.substr(at, size),
                   [&](AnswerEvent event) { events.push_back(event); });
    }
    BOOST_TEST((events == expected), "pieces of " << size);
    BOOST_TEST(watcher.at_boundary());
    BOOST_TEST(watcher.failed());
  }
}

BOOST_AUTO_TEST_CASE(an_unfinished_message_is_noticed) {
  AnswerWatcher watcher;
  std::string row = pgwire::DataRow({"abc"});
  watcher.Feed(row.substr(0, 3), [](AnswerEvent) {});
  BOOST_TEST(!watcher.at_boundary());
  watcher.Feed(row.substr(3, 6), [](AnswerEvent) {});
  BOOST_TEST(!watcher.at_boundary());
  watcher.Feed(row.substr(9), [](AnswerEvent) {});
  BOOST_TEST(watcher.at_boundary());
}

}  // namespace cardamomchute
