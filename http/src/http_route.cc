#include "http_route.h"

#include <charconv>

namespace cardamomchute {
namespace {

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  for (;;) {
    size_t end = text.find(separator);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos) return parts;
    text.remove_prefix(end + 1);
  }
}

bool IsCapture(std::string_view part) {
  return part.size() > 2 && part.front() == '{' && part.back() == '}';
}

bool MatchPath(std::string_view pattern, std::string_view path,
               std::map<std::string, std::string>* captures) {
  std::vector<std::string_view> wanted = Split(pattern, '/');
  std::vector<std::string_view> given = Split(path, '/');
  if (wanted.size() != given.size()) return false;
  for (size_t i = 0; i < wanted.size(); ++i) {
    if (!IsCapture(wanted[i])) {
      if (wanted[i] != given[i]) return false;
      continue;
    }
    std::optional<std::string> value = DecodePercent(given[i]);
    if (!value || value->empty()) return false;
    std::string name(wanted[i].substr(1, wanted[i].size() - 2));
    (*captures)[name] = *value;
  }
  return true;
}

}  // namespace

std::optional<std::string> DecodePercent(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out.push_back(text[i]);
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    uint8_t byte = 0;
    const char* begin = text.data() + i + 1;
    std::from_chars_result read = std::from_chars(begin, begin + 2, byte, 16);
    if (read.ec != std::errc() || read.ptr != begin + 2) return std::nullopt;
    out.push_back(static_cast<char>(byte));
    i += 2;
  }
  return out;
}

bool ParseTarget(std::string_view target, HttpRequest* request) {
  if (target.empty() || target.front() != '/') return false;
  size_t mark = target.find('?');
  request->path = std::string(target.substr(0, mark));
  if (mark == std::string_view::npos) return true;
  for (std::string_view pair : Split(target.substr(mark + 1), '&')) {
    if (pair.empty()) continue;
    size_t equals = pair.find('=');
    bool has_value = equals != std::string_view::npos;
    std::optional<std::string> key = DecodePercent(pair.substr(0, equals));
    std::optional<std::string> value =
        DecodePercent(has_value ? pair.substr(equals + 1) : "");
    if (!key || !value) return false;
    request->query[*key] = *value;
  }
  return true;
}

const HttpRoute* FindRoute(const std::vector<HttpRoute>& routes,
                           HttpRequest* request, bool* path_known) {
  *path_known = false;
  for (const HttpRoute& route : routes) {
    std::map<std::string, std::string> captures;
    if (!MatchPath(route.path, request->path, &captures)) continue;
    *path_known = true;
    if (route.method != request->method) continue;
    request->captures = std::move(captures);
    return &route;
  }
  return nullptr;
}

}  // namespace cardamomchute
