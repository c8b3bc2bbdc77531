#include "cardamomchute/fleet/messages.h"

#include "cardamomchute/base/compress.h"

namespace cardamomchute {
namespace {

/// Below this, compression saves less than it costs.
constexpr size_t kCompressFromBytes = 1024;
constexpr size_t kMaxMessageBytes = 16 * 1024 * 1024;

}  // namespace

std::string PackFleetMessage(const FleetMessage& message) {
  return PackVariant(message);
}

std::string PackForRelay(const FleetMessage& message) {
  std::string plain = PackFleetMessage(message);
  if (plain.size() < kCompressFromBytes) return plain;
  return PackFleetMessage(CompressedMessage{Compress(plain)});
}

Result<FleetMessage> UnpackFleetMessage(std::string_view body) {
  BOOST_OUTCOME_TRY(message, UnpackVariant<FleetMessage>(body));
  const auto* compressed = std::get_if<CompressedMessage>(&message);
  if (compressed == nullptr) return message;
  BOOST_OUTCOME_TRY(plain, Decompress(compressed->bytes, kMaxMessageBytes));
  return UnpackVariant<FleetMessage>(plain);
}

}  // namespace cardamomchute
