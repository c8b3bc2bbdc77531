/// Encoding of kChannel frames: channel id, message kind, message.
#ifndef CARDAMOMCHUTE_PEERS_SRC_CHANNEL_FRAME_H_
#define CARDAMOMCHUTE_PEERS_SRC_CHANNEL_FRAME_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "cardamomchute/channel/channel.h"

namespace cardamomchute::detail {

using ChannelMessage = std::variant<OpenChannel, ToOwner, FromOwner>;

struct ChannelFrame {
  uint64_t channel = 0;
  ChannelMessage message;
};

std::string EncodeOpen(uint64_t channel, const OpenChannel& open);
std::string EncodeToOwner(uint64_t channel, const ToOwner& message);
std::string EncodeFromOwner(uint64_t channel, const FromOwner& message);

/// Returns kProtocol if the bytes are not a valid channel frame.
Result<ChannelFrame> DecodeChannelFrame(std::string_view body);

}  // namespace cardamomchute::detail

#endif  // CARDAMOMCHUTE_PEERS_SRC_CHANNEL_FRAME_H_
