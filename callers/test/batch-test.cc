#include "batch.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <string_view>

namespace cardamomchute {
namespace {

/// Gathers all messages of `bytes`; how the last one went.
Result<Gathered> GatherAll(std::string_view bytes, BatchQueue* queue) {
  Result<Gathered> last = Gathered::kMore;
  while (!bytes.empty()) {
    pgwire::MessageView message = *pgwire::NextMessage(bytes).value();
    bytes.remove_prefix(message.whole.size());
    last = Gather(message, queue);
    if (last.has_error()) return last;
  }
  return last;
}

std::string Bare(char type) {
  return pgwire::Builder().Begin(type).End().Take();
}

}  // namespace

BOOST_AUTO_TEST_CASE(each_query_and_each_sync_ends_a_batch) {
  BatchQueue queue;
  std::string extended = Bare('P') + Bare('B') + Bare('E') + Bare('S');
  BOOST_TEST(
      !GatherAll(pgwire::Query("select 1") + extended + Bare('S'), &queue)
           .has_error());
  BOOST_REQUIRE(queue.waiting.size() == 3u);
  BOOST_TEST(TakeBatch(&queue).simple);
  BOOST_TEST(TakeBatch(&queue).bytes == extended);
  BOOST_TEST(TakeBatch(&queue).bytes == Bare('S'));
  BOOST_TEST(queue.waiting_bytes == 0u);
}

BOOST_AUTO_TEST_CASE(an_open_batch_waits_for_sync_or_flush) {
  BatchQueue queue;
  BOOST_TEST(!GatherAll(Bare('P'), &queue).has_error());
  BOOST_TEST(!HasReadyBatch(queue));
  BOOST_TEST(!GatherAll(Bare('H'), &queue).has_error());
  BOOST_TEST(HasReadyBatch(queue));
  Batch first = TakeBatch(&queue);
  BOOST_TEST(!first.complete);
  // The rest of the batch gathers in the tail.
  BOOST_TEST(!GatherAll(Bare('B') + Bare('S'), &queue).has_error());
  BOOST_TEST(queue.waiting.empty());
  BOOST_TEST(queue.tail.bytes == Bare('B') + Bare('S'));
  BOOST_TEST(queue.tail.complete);
  BOOST_TEST(!queue.open);
}

BOOST_AUTO_TEST_CASE(what_breaks_the_protocol_is_refused) {
  for (char type : {'z', 'p', '\0', 'R'}) {
    BatchQueue queue;
    BOOST_TEST(GatherAll(Bare(type), &queue).has_error());
  }
  BatchQueue queue;
  BOOST_TEST(
      GatherAll(Bare('P') + pgwire::Query("select 1"), &queue).has_error());
}

BOOST_AUTO_TEST_CASE(waiting_batches_are_bounded) {
  BatchQueue queue;
  for (size_t i = 0; i < kMaxWaitingBatches; ++i) {
    BOOST_TEST(HasRoom(queue));
    BOOST_TEST(!GatherAll(pgwire::Query("x"), &queue).has_error());
  }
  BOOST_TEST(!HasRoom(queue));
  BatchQueue large;
  std::string text(kMaxWaitingBytes, 'x');
  BOOST_TEST(!GatherAll(pgwire::Query(text), &large).has_error());
  BOOST_TEST(!HasRoom(large));
  // A single batch may grow until it is whole.
  BatchQueue open;
  BOOST_TEST(
      !GatherAll(pgwire::Builder().Begin('P').Bytes(text).End().Take(), &open)
           .has_error());
  BOOST_TEST(HasRoom(open));
}

}  // namespace cardamomchute
