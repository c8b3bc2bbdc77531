#include "batch.h"

#include <utility>

namespace cardamomchute {
namespace {

Error Broken(std::string message) {
  return Error{ErrorKind::kProtocol, std::move(message),
               "use a client of PostgreSQL protocol version 3"};
}

/// The batch that extended-query messages go to.
Batch& OpenBatch(BatchQueue* queue) {
  if (!queue->open) {
    queue->waiting.emplace_back();
    queue->open = true;
  }
  return queue->waiting.empty() ? queue->tail : queue->waiting.back();
}

Result<Gathered> GatherExtended(const pgwire::MessageView& message,
                                BatchQueue* queue) {
  Batch& batch = OpenBatch(queue);
  if (batch.bytes.size() + message.whole.size() > kMaxBatchBytes) {
    return Broken("a batch without Sync is too long");
  }
  batch.bytes.append(message.whole);
  if (!queue->waiting.empty()) queue->waiting_bytes += message.whole.size();
  if (message.type == 'S') {
    batch.complete = true;
    queue->open = false;
    return Gathered::kReady;
  }
  if (message.type != 'H') return Gathered::kMore;
  batch.flushed = true;
  return Gathered::kReady;
}

Result<Gathered> GatherSimple(const pgwire::MessageView& message,
                              BatchQueue* queue) {
  if (queue->open) {
    return Broken("a simple query or function call came before Sync");
  }
  queue->waiting.push_back(
      Batch{std::string(message.whole), true, true, false});
  queue->waiting_bytes += message.whole.size();
  return Gathered::kReady;
}

}  // namespace

Result<Gathered> Gather(const pgwire::MessageView& message, BatchQueue* queue) {
  switch (message.type) {
    case 'Q':
    case 'F':
      return GatherSimple(message, queue);
    case 'P':
    case 'B':
    case 'D':
    case 'E':
    case 'C':
    case 'H':
    case 'S':
      return GatherExtended(message, queue);
    case 'd':
    case 'c':
    case 'f':
      return Gathered::kMore;  // COPY data after a refused COPY
    case 'X':
      return Gathered::kTerminate;
    default:
      return Broken("message type " +
                    std::to_string(static_cast<unsigned char>(message.type)) +
                    " is not known");
  }
}

bool HasReadyBatch(const BatchQueue& queue) {
  if (queue.waiting.empty()) return false;
  const Batch& first = queue.waiting.front();
  return first.complete || first.flushed;
}

Batch TakeBatch(BatchQueue* queue) {
  Batch batch = std::move(queue->waiting.front());
  queue->waiting.pop_front();
  queue->waiting_bytes -= batch.bytes.size();
  return batch;
}

bool HasRoom(const BatchQueue& queue) {
  return queue.waiting.size() < kMaxWaitingBatches &&
         (queue.waiting_bytes < kMaxWaitingBytes ||
          (queue.waiting.size() == 1 && !HasReadyBatch(queue)));
}

}  // namespace cardamomchute
