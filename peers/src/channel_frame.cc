#include "channel_frame.h"

#include <type_traits>

namespace cardamomchute::detail {
namespace {

// The message kind is a base per variant plus the index of the alternative.
constexpr uint8_t kOpenKind = 0;
constexpr uint8_t kToOwnerBase = 16;
constexpr uint8_t kFromOwnerBase = 32;

template <typename Message>
std::string Encode(uint64_t channel, uint8_t kind, const Message& message) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack(channel);
  packer.pack(kind);
  packer.pack(message);
  return std::string(buffer.data(), buffer.size());
}

template <typename Variant>
std::string EncodeVariant(uint64_t channel, uint8_t base,
                          const Variant& message) {
  uint8_t kind = static_cast<uint8_t>(base + message.index());
  return std::visit(
      [&](const auto& value) { return Encode(channel, kind, value); }, message);
}

template <typename Variant, size_t kIndex = 0>
Result<ChannelMessage> DecodeVariant(size_t index, const msgpack::object& o) {
  if constexpr (kIndex == std::variant_size_v<Variant>) {
    return Error{ErrorKind::kProtocol, "unknown channel message",
                 "run the same release on both VMs"};
  } else {
    if (index != kIndex) return DecodeVariant<Variant, kIndex + 1>(index, o);
    using Message = std::variant_alternative_t<kIndex, Variant>;
    return ChannelMessage(Variant(o.as<Message>()));
  }
}

Result<ChannelMessage> DecodeMessage(uint8_t kind, const msgpack::object& o) {
  if (kind == kOpenKind) return ChannelMessage(o.as<OpenChannel>());
  if (kind >= kFromOwnerBase) {
    return DecodeVariant<FromOwner>(kind - kFromOwnerBase, o);
  }
  if (kind >= kToOwnerBase) {
    return DecodeVariant<ToOwner>(kind - kToOwnerBase, o);
  }
  return Error{ErrorKind::kProtocol, "unknown channel message kind",
               "run the same release on both VMs"};
}

}  // namespace

std::string EncodeOpen(uint64_t channel, const OpenChannel& open) {
  return Encode(channel, kOpenKind, open);
}

std::string EncodeToOwner(uint64_t channel, const ToOwner& message) {
  return EncodeVariant(channel, kToOwnerBase, message);
}

std::string EncodeFromOwner(uint64_t channel, const FromOwner& message) {
  return EncodeVariant(channel, kFromOwnerBase, message);
}

Result<ChannelFrame> DecodeChannelFrame(std::string_view body) {
  try {
    size_t at = 0;
    msgpack::object_handle channel =
        msgpack::unpack(body.data(), body.size(), at);
    msgpack::object_handle kind = msgpack::unpack(body.data(), body.size(), at);
    msgpack::object_handle message =
        msgpack::unpack(body.data(), body.size(), at);
    ChannelFrame frame;
    frame.channel = channel.get().as<uint64_t>();
    BOOST_OUTCOME_TRY(decoded,
                      DecodeMessage(kind.get().as<uint8_t>(), message.get()));
    frame.message = std::move(decoded);
    return frame;
  } catch (const std::exception& e) {
    return Error{ErrorKind::kProtocol,
                 std::string("not a channel frame: ") + e.what(),
                 "run the same release on both VMs"};
  }
}

}  // namespace cardamomchute::detail
