#include "cardamomchute/base/log.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

#include "cardamomchute/base/log_sink.h"

namespace cardamomchute {
namespace {

/// log4cxx's way to a LogSink on standard output.
class SinkAppender : public log4cxx::AppenderSkeleton {
 public:
  explicit SinkAppender(const log4cxx::LayoutPtr& layout)
      : layout_(layout), sink_(STDOUT_FILENO) {}

  void close() override {}
  bool requiresLayout() const override { return false; }

 protected:
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) override {
    log4cxx::LogString text;
    layout_->format(text, event, pool);
    sink_.Write(text, Now());
  }

 private:
  log4cxx::LayoutPtr layout_;
  LogSink sink_;
};

log4cxx::LoggerPtr Root() {
  static log4cxx::LoggerPtr logger = log4cxx::Logger::getRootLogger();
  return logger;
}

log4cxx::LevelPtr ToLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

void AppendQuoted(std::string_view value, std::string* line) {
  line->push_back('"');
  for (char c : value) {
    if (c == '"' || c == '\\') line->push_back('\\');
    line->push_back(c == '\n' || c == '\r' ? ' ' : c);
  }
  line->push_back('"');
}

}  // namespace

LogLevel ParseLogLevel(std::string_view name) {
  if (name == "debug") return LogLevel::kDebug;
  if (name == "warn") return LogLevel::kWarn;
  if (name == "error") return LogLevel::kError;
  return LogLevel::kInfo;
}

void StartLog(std::string_view vm, LogLevel level) {
  std::string pattern =
      "%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p vm=" + std::string(vm) + " %m%n";
  log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(pattern));
  log4cxx::AppenderPtr appender(new SinkAppender(layout));
  Root()->removeAllAppenders();
  Root()->addAppender(appender);
  Root()->setLevel(ToLevel(level));
}

bool LogEnabled(LogLevel level) { return Root()->isEnabledFor(ToLevel(level)); }

LogLine::LogLine(LogLevel level, std::string_view event)
    : level_(level), enabled_(LogEnabled(level)) {
  if (enabled_) line_ = "event=" + std::string(event);
}

LogLine::~LogLine() {
  if (!enabled_) return;
  Root()->forcedLog(ToLevel(level_), line_,
                    log4cxx::spi::LocationInfo::getLocationUnavailable());
}

void LogLine::Append(std::string_view key, std::string_view value) {
  line_ += ' ';
  line_ += key;
  line_ += '=';
  if (NeedsQuotes(value)) return AppendQuoted(value, &line_);
  line_ += value;
}

}  // namespace cardamomchute
