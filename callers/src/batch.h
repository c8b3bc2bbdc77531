/// Gathers a caller's frontend messages into batches: a simple Query, or
/// extended-query messages up to Sync.
#ifndef CARDAMOMCHUTE_CALLERS_SRC_BATCH_H_
#define CARDAMOMCHUTE_CALLERS_SRC_BATCH_H_

#include <list>
#include <string>

#include "cardamomchute/base/error.h"
#include "cardamomchute/pgwire/message.h"

namespace cardamomchute {

/// Batches that wait behind the one under way before reading stops.
inline constexpr size_t kMaxWaitingBatches = 64;
/// Bytes that wait likewise.
inline constexpr size_t kMaxWaitingBytes = 256 * 1024;
/// The largest batch; a longer one ends the connection.
inline constexpr size_t kMaxBatchBytes = pgwire::kMaxMessageBytes;

struct Batch {
  std::string bytes;
  bool simple = false;
  bool complete = false;  ///< ends with Query or Sync
  bool flushed = false;   ///< holds a Flush: goes out before it is complete
};

/// What a message did to the gathering.
enum class Gathered {
  kMore,      ///< nothing new can start
  kReady,     ///< a batch became complete, or was flushed
  kTerminate  ///< the caller says goodbye
};

/// Batches in the order they came; the last may still be open.
struct BatchQueue {
  std::list<Batch> waiting;
  size_t waiting_bytes = 0;
  /// The caller is within an extended-query batch. When `waiting` is empty,
  /// that batch has been taken out and `tail` gathers what follows.
  bool open = false;
  Batch tail;
};

/// Takes one message. kProtocol: its type, order or size breaks the protocol.
Result<Gathered> Gather(const pgwire::MessageView& message, BatchQueue* queue);

/// Whether the first batch can start.
bool HasReadyBatch(const BatchQueue& queue);

/// Takes the first batch out; HasReadyBatch holds.
Batch TakeBatch(BatchQueue* queue);

/// Whether more may be read from the caller.
bool HasRoom(const BatchQueue& queue);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_CALLERS_SRC_BATCH_H_
