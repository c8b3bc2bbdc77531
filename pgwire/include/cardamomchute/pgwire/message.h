/// Framing and building of PostgreSQL v3 messages; no sockets, no SQL.
#ifndef CARDAMOMCHUTE_PGWIRE_MESSAGE_H_
#define CARDAMOMCHUTE_PGWIRE_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomchute/base/error.h"

namespace cardamomchute::pgwire {

inline constexpr uint32_t kProtocolVersion3 = 196608;
inline constexpr uint32_t kSslRequestCode = 80877103;
inline constexpr uint32_t kGssEncRequestCode = 80877104;
inline constexpr uint32_t kCancelRequestCode = 80877102;
/// Startup packets longer than this are refused, as PostgreSQL does.
inline constexpr uint32_t kMaxStartupBytes = 10000;
/// Typed messages longer than this are refused by default.
inline constexpr uint32_t kMaxMessageBytes = 64 * 1024 * 1024;

/// A typed message within somebody else's buffer.
struct MessageView {
  char type = 0;
  std::string_view body;   ///< without type and length
  std::string_view whole;  ///< with type and length
};

/// Finds the first whole message in `buffer`. Nothing: more bytes are needed.
/// kProtocol: the length is below 4 or above `max_bytes`.
Result<std::optional<MessageView>> NextMessage(
    std::string_view buffer, uint32_t max_bytes = kMaxMessageBytes);

/// The untyped first packet of a connection.
struct StartupPacket {
  uint32_t code = 0;  ///< kProtocolVersion3, kSslRequestCode, ...
  /// Key and value pairs, in order, of a version-3 startup.
  struct Option {
    std::string key;
    std::string value;
  };
  std::vector<Option> options;
  uint32_t cancel_pid = 0;
  uint32_t cancel_secret = 0;
  size_t size = 0;  ///< bytes taken from the buffer
};

/// Finds the startup packet in `buffer`. Nothing: more bytes are needed.
Result<std::optional<StartupPacket>> NextStartup(std::string_view buffer);

/// Walks a message body; every read past the end turns `ok()` false.
class BodyReader {
 public:
  explicit BodyReader(std::string_view body) : rest_(body) {}
  uint8_t Byte();
  int16_t Int16();
  int32_t Int32();
  std::string_view CString();
  std::string_view Bytes(size_t count);
  std::string_view rest() const { return rest_; }
  bool ok() const { return ok_; }

 private:
  std::string_view rest_;
  bool ok_ = true;
};

/// Builds messages one after the other into one string.
///
///     Builder b;
///     b.Begin('C').CString("SELECT 1").End();
class Builder {
 public:
  Builder& Begin(char type);
  /// An untyped packet: startup, cancel, SSL request.
  Builder& BeginUntyped();
  Builder& Byte(char c);
  Builder& Int16(int16_t v);
  Builder& Int32(int32_t v);
  Builder& CString(std::string_view s);
  Builder& Bytes(std::string_view s);
  Builder& End();
  const std::string& bytes() const { return bytes_; }
  std::string Take() { return std::move(bytes_); }

 private:
  std::string bytes_;
  size_t length_at_ = 0;
};

/// A report to a client: ErrorResponse ('E') or NoticeResponse ('N').
struct Report {
  std::string severity = "ERROR";
  std::string sqlstate;
  std::string message;
  std::string detail;
  std::string hint;
};

std::string ErrorResponse(const Report& report);
std::string NoticeResponse(const Report& report);
std::string ReadyForQuery(char transaction_status);
std::string ParameterStatus(std::string_view key, std::string_view value);
std::string CommandComplete(std::string_view tag);
std::string Query(std::string_view sql);
std::string Startup(const std::vector<StartupPacket::Option>& options);
std::string CancelRequest(uint32_t pid, uint32_t secret);

/// Reads the fields of an ErrorResponse or NoticeResponse body.
Report ParseReport(std::string_view body);

/// One text column each; all columns are of type text.
std::string RowDescription(const std::vector<std::string>& columns);
/// A row of text values; an absent one is NULL.
std::string DataRow(const std::vector<std::optional<std::string>>& values);
/// Reads a DataRow body; kProtocol when it is malformed.
Result<std::vector<std::optional<std::string>>> ParseDataRow(
    std::string_view body);

/// "16/B374D848" to bytes and back, as PostgreSQL prints an LSN.
Result<uint64_t> ParseLsn(std::string_view text);
std::string FormatLsn(uint64_t position);

}  // namespace cardamomchute::pgwire

#endif  // CARDAMOMCHUTE_PGWIRE_MESSAGE_H_
