// Logs of the system's programs: JSON lines on standard error, one event a line, written by easylogging++.
// {"t":12.345,"level":"info","what":"session opened","proxy":"edge-1"}; t: seconds since the process began.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace burlwind::program {

struct Field {
  const char* name;
  std::variant<std::string, double> value;
  Field(const char* n, std::string_view text) : name(n), value(std::string(text)) {}
  Field(const char* n, const std::string& text) : name(n), value(text) {}
  Field(const char* n, const char* text) : name(n), value(std::string(text)) {}
  template <class Number>
  requires std::is_arithmetic_v<Number> Field(const char* n, Number number)
      : name(n), value(static_cast<double>(number)) {}
};
using Fields = std::initializer_list<Field>;

void startLog(const std::string& program, const std::string& node);  // once, before the first line
void stopLog();  // no line is written from here on: of a program that uses parts of others
void info(std::string_view what, Fields fields = {});
void warn(std::string_view what, Fields fields = {});
void error(std::string_view what, Fields fields = {});
// One line without its end; `at`: seconds since the process began.
std::string line(std::string_view level, double at, std::string_view what, Fields fields);

}  // namespace burlwind::program
