#include "program/log.hpp"

#include <easylogging++.h>

#include <chrono>
#include <cmath>
#include <cstdio>

INITIALIZE_EASYLOGGINGPP

namespace burlwind::program {
namespace {

const auto began = std::chrono::steady_clock::now();
std::string& head() {
  static std::string out;
  return out;
}

double seconds() { return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count(); }

void quote(std::string& out, std::string_view text) {
  out += '"';
  for (const char c : text) {
    if (c == '"' || c == '\\')
      (out += '\\') += c;
    else if (static_cast<unsigned char>(c) < 0x20) {
      char code[8];
      std::snprintf(code, sizeof code, "\\u%04x", static_cast<unsigned>(c));
      out += code;
    } else {
      out += c;
    }
  }
  out += '"';
}

}  // namespace

std::string line(std::string_view level, double at, std::string_view what, Fields fields) {
  char number[40];
  std::snprintf(number, sizeof number, "%.3f", at);
  std::string out =
      std::string("{\"t\":") + number + ",\"level\":\"" + std::string(level) + "\"" + head() + ",\"what\":";
  quote(out, what);
  for (const Field& field : fields) {
    (out += ",\"") += field.name;
    out += "\":";
    if (const auto* text = std::get_if<std::string>(&field.value)) {
      quote(out, *text);
    } else {
      const double value = std::get<double>(field.value);
      std::snprintf(number, sizeof number, std::isfinite(value) ? "%.10g" : "null", value);
      out += number;
    }
  }
  return out + "}";
}

void startLog(const std::string& program, const std::string& node) {
  std::string& out = head();
  out = ",\"program\":";
  quote(out, program);
  out += ",\"node\":";
  quote(out, node);
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::Format, "%msg");
  conf.setGlobally(el::ConfigurationType::ToFile, "false");
  conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(conf);
}

void stopLog() {
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::Enabled, "false");
  el::Loggers::reconfigureAllLoggers(conf);
}

void info(std::string_view what, Fields fields) { LOG(INFO) << line("info", seconds(), what, fields); }
void warn(std::string_view what, Fields fields) { LOG(WARNING) << line("warn", seconds(), what, fields); }
void error(std::string_view what, Fields fields) { LOG(ERROR) << line("error", seconds(), what, fields); }

}  // namespace burlwind::program
