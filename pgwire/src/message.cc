#include "cardamomchute/pgwire/message.h"

#include <boost/endian/conversion.hpp>
#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <cstring>

namespace cardamomchute::pgwire {
namespace {

constexpr size_t kHeaderBytes = 5;  // type and length

uint32_t LoadU32(const char* p) {
  return boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(p));
}

void StoreU32(uint32_t v, char* p) {
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(p), v);
}

Error Malformed(std::string what) {
  return Error{ErrorKind::kProtocol, std::move(what),
               "connect with a PostgreSQL v3 client"};
}

std::string ReportMessage(char type, const Report& report) {
  Builder b;
  b.Begin(type);
  b.Byte('S').CString(report.severity);
  b.Byte('V').CString(report.severity);
  b.Byte('C').CString(report.sqlstate);
  b.Byte('M').CString(report.message);
  if (!report.detail.empty()) b.Byte('D').CString(report.detail);
  if (!report.hint.empty()) b.Byte('H').CString(report.hint);
  b.Byte('\0').End();
  return b.Take();
}

Result<std::optional<StartupPacket>> ParseOptions(BodyReader reader,
                                                  StartupPacket packet) {
  while (reader.ok() && !reader.rest().empty()) {
    std::string_view key = reader.CString();
    if (key.empty()) break;
    std::string_view value = reader.CString();
    packet.options.push_back({std::string(key), std::string(value)});
  }
  if (!reader.ok()) return Malformed("startup options are cut short");
  return std::optional<StartupPacket>(std::move(packet));
}

}  // namespace

Result<std::optional<MessageView>> NextMessage(std::string_view buffer,
                                               uint32_t max_bytes) {
  if (buffer.size() < kHeaderBytes) return std::optional<MessageView>();
  uint32_t length = LoadU32(buffer.data() + 1);
  if (length < 4) return Malformed("message length below 4");
  if (length > max_bytes) {
    return Malformed("message of " + std::to_string(length) +
                     " bytes is above the limit of " +
                     std::to_string(max_bytes));
  }
  if (buffer.size() < 1 + static_cast<size_t>(length)) {
    return std::optional<MessageView>();
  }
  MessageView view;
  view.type = buffer[0];
  view.whole = buffer.substr(0, 1 + static_cast<size_t>(length));
  view.body = view.whole.substr(kHeaderBytes);
  return std::optional<MessageView>(view);
}

Result<std::optional<StartupPacket>> NextStartup(std::string_view buffer) {
  if (buffer.size() < 4) return std::optional<StartupPacket>();
  uint32_t length = LoadU32(buffer.data());
  if (length < 8 || length > kMaxStartupBytes) {
    return Malformed("startup packet of " + std::to_string(length) + " bytes");
  }
  if (buffer.size() < length) return std::optional<StartupPacket>();
  StartupPacket packet;
  packet.size = length;
  packet.code = LoadU32(buffer.data() + 4);
  BodyReader reader(buffer.substr(8, length - 8));
  if (packet.code == kSslRequestCode || packet.code == kGssEncRequestCode) {
    return std::optional<StartupPacket>(std::move(packet));
  }
  if (packet.code == kCancelRequestCode) {
    packet.cancel_pid = static_cast<uint32_t>(reader.Int32());
    packet.cancel_secret = static_cast<uint32_t>(reader.Int32());
    if (!reader.ok()) return Malformed("cancel request is cut short");
    return std::optional<StartupPacket>(std::move(packet));
  }
  if (packet.code >> 16 != kProtocolVersion3 >> 16) {
    return Malformed("protocol version " + std::to_string(packet.code >> 16) +
                     "." + std::to_string(packet.code & 0xffff) +
                     " is not served");
  }
  return ParseOptions(reader, std::move(packet));
}

uint8_t BodyReader::Byte() {
  std::string_view b = Bytes(1);
  return b.empty() ? 0 : static_cast<uint8_t>(b[0]);
}

int16_t BodyReader::Int16() {
  std::string_view b = Bytes(2);
  if (b.empty()) return 0;
  return boost::endian::load_big_s16(
      reinterpret_cast<const unsigned char*>(b.data()));
}

int32_t BodyReader::Int32() {
  std::string_view b = Bytes(4);
  return b.empty() ? 0 : static_cast<int32_t>(LoadU32(b.data()));
}

std::string_view BodyReader::CString() {
  size_t end = rest_.find('\0');
  if (end == std::string_view::npos) {
    ok_ = false;
    rest_ = {};
    return {};
  }
  std::string_view s = rest_.substr(0, end);
  rest_.remove_prefix(end + 1);
  return s;
}

std::string_view BodyReader::Bytes(size_t count) {
  if (rest_.size() < count) {
    ok_ = false;
    rest_ = {};
    return {};
  }
  std::string_view b = rest_.substr(0, count);
  rest_.remove_prefix(count);
  return b;
}

Builder& Builder::Begin(char type) {
  bytes_.push_back(type);
  return BeginUntyped();
}

Builder& Builder::BeginUntyped() {
  length_at_ = bytes_.size();
  bytes_.append(4, '\0');
  return *this;
}

Builder& Builder::Byte(char c) {
  bytes_.push_back(c);
  return *this;
}

Builder& Builder::Int16(int16_t v) {
  unsigned char b[2];
  boost::endian::store_big_s16(b, v);
  bytes_.append(reinterpret_cast<char*>(b), sizeof b);
  return *this;
}

Builder& Builder::Int32(int32_t v) {
  char b[4];
  StoreU32(static_cast<uint32_t>(v), b);
  bytes_.append(b, sizeof b);
  return *this;
}

Builder& Builder::CString(std::string_view s) {
  bytes_.append(s.substr(0, s.find('\0')));
  bytes_.push_back('\0');
  return *this;
}

Builder& Builder::Bytes(std::string_view s) {
  bytes_.append(s);
  return *this;
}

Builder& Builder::End() {
  StoreU32(static_cast<uint32_t>(bytes_.size() - length_at_),
           bytes_.data() + length_at_);
  return *this;
}

std::string ErrorResponse(const Report& report) {
  return ReportMessage('E', report);
}

std::string NoticeResponse(const Report& report) {
  return ReportMessage('N', report);
}

std::string ReadyForQuery(char transaction_status) {
  return Builder().Begin('Z').Byte(transaction_status).End().Take();
}

std::string ParameterStatus(std::string_view key, std::string_view value) {
  return Builder().Begin('S').CString(key).CString(value).End().Take();
}

std::string CommandComplete(std::string_view tag) {
  return Builder().Begin('C').CString(tag).End().Take();
}

std::string Query(std::string_view sql) {
  return Builder().Begin('Q').CString(sql).End().Take();
}

std::string Startup(const std::vector<StartupPacket::Option>& options) {
  Builder b;
  b.BeginUntyped().Int32(static_cast<int32_t>(kProtocolVersion3));
  for (const StartupPacket::Option& option : options) {
    b.CString(option.key).CString(option.value);
  }
  return b.Byte('\0').End().Take();
}

std::string CancelRequest(uint32_t pid, uint32_t secret) {
  return Builder()
      .BeginUntyped()
      .Int32(static_cast<int32_t>(kCancelRequestCode))
      .Int32(static_cast<int32_t>(pid))
      .Int32(static_cast<int32_t>(secret))
      .End()
      .Take();
}

Report ParseReport(std::string_view body) {
  Report report;
  BodyReader reader(body);
  while (reader.ok()) {
    uint8_t field = reader.Byte();
    if (field == 0) break;
    std::string value(reader.CString());
    if (field == 'S') report.severity = value;
    if (field == 'C') report.sqlstate = value;
    if (field == 'M') report.message = value;
    if (field == 'D') report.detail = value;
    if (field == 'H') report.hint = value;
  }
  return report;
}

std::string RowDescription(const std::vector<std::string>& columns) {
  constexpr int32_t kTextOid = 25;
  Builder b;
  b.Begin('T').Int16(static_cast<int16_t>(columns.size()));
  for (const std::string& column : columns) {
    b.CString(column).Int32(0).Int16(0).Int32(kTextOid);
    b.Int16(-1).Int32(-1).Int16(0);
  }
  return b.End().Take();
}

std::string DataRow(const std::vector<std::optional<std::string>>& values) {
  Builder b;
  b.Begin('D').Int16(static_cast<int16_t>(values.size()));
  for (const std::optional<std::string>& value : values) {
    if (!value) {
      b.Int32(-1);
      continue;
    }
    b.Int32(static_cast<int32_t>(value->size())).Bytes(*value);
  }
  return b.End().Take();
}

Result<std::vector<std::optional<std::string>>> ParseDataRow(
    std::string_view body) {
  BodyReader reader(body);
  int16_t count = reader.Int16();
  std::vector<std::optional<std::string>> values;
  for (int16_t i = 0; i < count && reader.ok(); ++i) {
    int32_t size = reader.Int32();
    if (size < 0) {
      values.push_back(std::nullopt);
      continue;
    }
    values.push_back(std::string(reader.Bytes(static_cast<size_t>(size))));
  }
  if (!reader.ok()) return Malformed("data row is cut short");
  return values;
}

Result<uint64_t> ParseLsn(std::string_view text) {
  size_t slash = text.find('/');
  if (slash == std::string_view::npos) return Malformed("LSN without '/'");
  uint32_t high = 0;
  uint32_t low = 0;
  const char* end = text.data() + text.size();
  std::from_chars_result h =
      std::from_chars(text.data(), text.data() + slash, high, 16);
  std::from_chars_result l =
      std::from_chars(text.data() + slash + 1, end, low, 16);
  bool whole = h.ec == std::errc() && h.ptr == text.data() + slash &&
               l.ec == std::errc() && l.ptr == end;
  if (!whole) return Malformed("LSN is not hexadecimal");
  return (static_cast<uint64_t>(high) << 32) | low;
}

std::string FormatLsn(uint64_t position) {
  char text[24];
  std::snprintf(text, sizeof text, "%" PRIX32 "/%" PRIX32,
                static_cast<uint32_t>(position >> 32),
                static_cast<uint32_t>(position));
  return text;
}

}  // namespace cardamomchute::pgwire
