/// msgpack encoding of variants as [index of the alternative, body].
#ifndef CARDAMOMCHUTE_POLICY_QUORUM_QUORUM_PACK_H_
#define CARDAMOMCHUTE_POLICY_QUORUM_QUORUM_PACK_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "cardamomchute/base/pack.h"

namespace cardamomchute {
namespace detail {

template <typename Variant, size_t... kIndex>
bool ConvertAlternative(const msgpack::object& body, size_t index, Variant& out,
                        std::index_sequence<kIndex...>) {
  return (
      (index == kIndex &&
       (out = body.as<std::variant_alternative_t<kIndex, Variant>>(), true)) ||
      ...);
}

}  // namespace detail

template <typename Variant>
std::string PackVariant(const Variant& value) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> out(buffer);
  out.pack_array(2);
  out.pack(static_cast<uint32_t>(value.index()));
  std::visit([&out](const auto& body) { out.pack(body); }, value);
  return std::string(buffer.data(), buffer.size());
}

/// Returns kProtocol if the bytes do not decode to any alternative.
template <typename Variant>
Result<Variant> UnpackVariant(std::string_view bytes) {
  Error malformed{ErrorKind::kProtocol, "message of unknown shape",
                  "run the same release on both VMs"};
  try {
    msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                        msgpack::unpack_limit(1 << 20, 1 << 20, 64 << 20,
                                              64 << 20, 1 << 20, 64));
    const msgpack::object& object = handle.get();
    bool pair =
        object.type == msgpack::type::ARRAY && object.via.array.size == 2;
    if (!pair) return malformed;
    size_t index = object.via.array.ptr[0].as<uint32_t>();
    Variant value;
    bool known = detail::ConvertAlternative(
        object.via.array.ptr[1], index, value,
        std::make_index_sequence<std::variant_size_v<Variant>>());
    if (!known) return malformed;
    return value;
  } catch (const std::exception&) {
    return malformed;
  }
}

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_QUORUM_QUORUM_PACK_H_
