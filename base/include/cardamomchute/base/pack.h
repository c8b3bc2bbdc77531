/// msgpack for the strong types; included where messages are defined.
#ifndef CARDAMOMCHUTE_BASE_PACK_H_
#define CARDAMOMCHUTE_BASE_PACK_H_

#include <msgpack.hpp>
#include <string>
#include <string_view>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <typename Tag>
  struct convert<cardamomchute::StrongString<Tag>> {
    const msgpack::object& operator()(
        const msgpack::object& o, cardamomchute::StrongString<Tag>& id) const {
      id = cardamomchute::StrongString<Tag>(o.as<std::string>());
      return o;
    }
  };
  template <typename Tag>
  struct pack<cardamomchute::StrongString<Tag>> {
    template <typename Stream>
    msgpack::packer<Stream>& operator()(
        msgpack::packer<Stream>& out,
        const cardamomchute::StrongString<Tag>& id) const {
      return out.pack(id.value());
    }
  };

  template <typename Tag>
  struct convert<cardamomchute::StrongNumber<Tag>> {
    const msgpack::object& operator()(
        const msgpack::object& o, cardamomchute::StrongNumber<Tag>& n) const {
      n = cardamomchute::StrongNumber<Tag>(o.as<uint64_t>());
      return o;
    }
  };
  template <typename Tag>
  struct pack<cardamomchute::StrongNumber<Tag>> {
    template <typename Stream>
    msgpack::packer<Stream>& operator()(
        packer<Stream>& out, cardamomchute::StrongNumber<Tag> n) const {
      return out.pack(n.value());
    }
  };

  template <>
  struct convert<cardamomchute::Duration> {
    const msgpack::object& operator()(const msgpack::object& o,
                                      cardamomchute::Duration& d) const {
      d = cardamomchute::Duration(o.as<int64_t>());
      return o;
    }
  };
  template <>
  struct pack<cardamomchute::Duration> {
    template <typename Stream>
    msgpack::packer<Stream>& operator()(packer<Stream>& out,
                                        cardamomchute::Duration d) const {
      return out.pack(d.ms());
    }
  };

  template <>
  struct convert<cardamomchute::Floor> {
    const msgpack::object& operator()(const msgpack::object& o,
                                      cardamomchute::Floor& f) const {
      if (o.type != msgpack::type::ARRAY || o.via.array.size != 2)
        throw msgpack::type_error();
      o.via.array.ptr[0] >> f.term;
      o.via.array.ptr[1] >> f.position;
      return o;
    }
  };
  template <>
  struct pack<cardamomchute::Floor> {
    template <typename Stream>
    msgpack::packer<Stream>& operator()(packer<Stream>& out,
                                        const cardamomchute::Floor& f) const {
      out.pack_array(2);
      out.pack(f.term);
      out.pack(f.position);
      return out;
    }
  };

  template <>
  struct convert<cardamomchute::Address> {
    const msgpack::object& operator()(const msgpack::object& o,
                                      cardamomchute::Address& a) const {
      if (o.type != msgpack::type::ARRAY || o.via.array.size != 2)
        throw msgpack::type_error();
      o.via.array.ptr[0] >> a.host;
      o.via.array.ptr[1] >> a.port;
      return o;
    }
  };
  template <>
  struct pack<cardamomchute::Address> {
    template <typename Stream>
    msgpack::packer<Stream>& operator()(packer<Stream>& out,
                                        const cardamomchute::Address& a) const {
      out.pack_array(2);
      out.pack(a.host);
      out.pack(a.port);
      return out;
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

namespace cardamomchute {

/// Serializes one value.
template <typename T>
std::string Pack(const T& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return std::string(buffer.data(), buffer.size());
}

/// Reads one value back; kProtocol when the bytes are not a T.
template <typename T>
Result<T> Unpack(std::string_view bytes) {
  try {
    msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                        msgpack::unpack_limit(1 << 20, 1 << 20, 64 << 20,
                                              64 << 20, 1 << 20, 64));
    return handle.get().as<T>();
  } catch (const std::exception& e) {
    return Error{
        ErrorKind::kProtocol,
        std::string("bytes are not of the expected shape: ") + e.what(),
        "run the same release on both VMs"};
  }
}

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_BASE_PACK_H_
