#include "node/config.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace burlwind {
namespace {

using nlohmann::json;

constexpr unsigned kLeastSockets = 64;
constexpr unsigned kLeastMemoryMb = 16;

[[noreturn]] void bad(const std::string& what) { throw std::runtime_error("configuration: " + what); }

std::string plain(const json& value) {
  std::string out = value.is_string() ? value.get<std::string>() : value.dump();
  std::replace_if(
      out.begin(), out.end(), [](char c) { return c == ' ' || c == ',' || c == '\n' || c == '\r'; }, '_');
  return out;
}

// Nested JSON as the `path=value` lines that parseSettings reads.
void flatten(const json& value, const std::string& path, std::string& out) {
  const std::string at = path.empty() ? path : path + ".";
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) flatten(item, at + key, out);
  } else if (value.is_array() && !value.empty() && value.front().is_structured()) {
    out += path + ".count=" + std::to_string(value.size()) + "\n";
    for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], at + std::to_string(i), out);
  } else if (value.is_array()) {
    out += path + "=";
    for (std::size_t i = 0; i < value.size(); ++i) out += (i > 0 ? "," : "") + plain(value[i]);
    out += "\n";
  } else if (!value.is_null()) {
    out += path + "=" + plain(value) + "\n";
  }
}

std::uint64_t parseSeed(const std::string& text) {
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size()) bad("seed is not a hexadecimal number");
  return seed;
}

json parseFile(std::string_view text) {
  try {
    json file = json::parse(text);
    if (!file.is_object()) bad("not a JSON object");
    return file;
  } catch (const json::exception& error) {
    bad(std::string("not JSON: ") + error.what());
  }
}

std::string textOf(const json& file, const char* key) {
  const auto found = file.find(key);
  if (found == file.end() || !found->is_string()) bad(std::string(key) + " is missing");
  return found->get<std::string>();
}

unsigned readLimit(const json& file, const std::string& name, unsigned least, unsigned untold) {
  const json::json_pointer at("/limits/" + name);
  if (!file.contains(at)) return untold;
  const json& value = file.at(at);
  if (!value.is_number() || !(value.get<double>() >= least))
    bad("limits." + name + " is not a number of at least " + std::to_string(least));
  return static_cast<unsigned>(std::min(value.get<double>(), 1e6));
}

Config fromJson(const json& file) {
  Config out;
  out.name = textOf(file, "name");
  out.listen = parseEndpoint(textOf(file, "listen"));
  out.discovery = parseEndpoint(textOf(file, "discovery"));
  if (file.contains("operator") && !file["operator"].is_null())
    out.operators = parseEndpoint(textOf(file, "operator"));
  if (file.contains("seed")) out.seed = parseSeed(textOf(file, "seed"));
  out.sockets = readLimit(file, "sockets", kLeastSockets, out.sockets);
  out.memoryMb = readLimit(file, "memory_mb", kLeastMemoryMb, out.memoryMb);
  if (file.contains("known")) out.known = file["known"].dump();
  if (!file.contains("settings") || !file["settings"].is_object()) bad("settings is missing");
  std::string lines;
  flatten(file["settings"], "", lines);
  out.settings = irisring::parseSettings(lines);
  out.host = irisring::parseHostSettings(lines);
  return out;
}

void fromEnvironment(const char* variable, const char* key, json& file) {
  const char* value = std::getenv(variable);
  if (value && *value) file[key] = value;
}

// The descriptor that the platform passes, if it does.
std::optional<int> passedSocket() {
  const char* value = std::getenv("BALANCER_PASSED_SOCKET");
  if (!value || !*value) return std::nullopt;
  const std::string_view text(value);
  int out = -1;
  const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (wrong != std::errc() || end != text.data() + text.size() || out < 0)
    throw std::runtime_error("BALANCER_PASSED_SOCKET is not the number of a descriptor");
  return out;
}

json readFile() {
  const char* path = std::getenv("BALANCER_CONFIG");
  if (!path) bad("BALANCER_CONFIG is not set");
  std::ifstream in(path);
  if (!in) bad(std::string("cannot read ") + path);
  json file = parseFile(std::string(std::istreambuf_iterator<char>(in), {}));
  fromEnvironment("BALANCER_NAME", "name", file);
  fromEnvironment("BALANCER_LISTEN", "listen", file);
  return file;
}

}  // namespace

boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view hostPort) {
  const auto colon = hostPort.rfind(':');
  std::string host(hostPort.substr(0, colon));
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(host, error);
  unsigned port = 0;
  const std::string_view digits = colon == std::string_view::npos ? "" : hostPort.substr(colon + 1);
  const auto [end, wrong] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error || wrong != std::errc() || end != digits.data() + digits.size() || port > 65535)
    throw std::runtime_error("not an address and port: " + std::string(hostPort.substr(0, 80)));
  return {address, static_cast<unsigned short>(port)};
}

Config parseConfig(std::string_view text) { return fromJson(parseFile(text)); }

Config readConfig() {
  json file = readFile();
  fromEnvironment("BALANCER_DISCOVERY", "discovery", file);
  fromEnvironment("BALANCER_OPERATOR", "operator", file);
  Config out = fromJson(file);
  out.passedSocket = passedSocket();
  return out;
}

Config rereadConfig() { return fromJson(readFile()); }

}  // namespace burlwind
