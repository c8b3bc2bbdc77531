#include "cardamomchute/base/compress.h"

#include <zlib.h>

#include <new>

namespace cardamomchute {
namespace {

constexpr size_t kChunkBytes = 64 * 1024;

Error Damaged(const std::string& what) {
  return Error{ErrorKind::kProtocol, "compressed message: " + what,
               "run the same release on both VMs"};
}

}  // namespace

std::string Compress(std::string_view bytes) {
  uLongf size = compressBound(static_cast<uLong>(bytes.size()));
  std::string out(size, 0);
  int state = compress2(reinterpret_cast<Bytef*>(out.data()), &size,
                        reinterpret_cast<const Bytef*>(bytes.data()),
                        static_cast<uLong>(bytes.size()), Z_BEST_SPEED);
  // The buffer is large enough and the level valid: only memory can lack.
  if (state != Z_OK) throw std::bad_alloc();
  out.resize(size);
  return out;
}

Result<std::string> Decompress(std::string_view bytes, size_t limit) {
  z_stream stream = {};
  if (inflateInit(&stream) != Z_OK) return Damaged("out of memory");
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string out;
  int state = Z_OK;
  while (state == Z_OK && out.size() <= limit) {
    size_t used = out.size();
    out.resize(used + kChunkBytes);
    stream.next_out = reinterpret_cast<Bytef*>(out.data() + used);
    stream.avail_out = static_cast<uInt>(kChunkBytes);
    state = inflate(&stream, Z_NO_FLUSH);
    out.resize(out.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (out.size() > limit) return Damaged("too large");
  if (state != Z_STREAM_END) return Damaged("incomplete or not valid");
  return out;
}

}  // namespace cardamomchute
