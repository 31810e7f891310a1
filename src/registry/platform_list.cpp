#include "registry/platform_list.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

#include "config/json.hpp"
#include "http/http.hpp"
#include "program/start.hpp"
#include "rpc/link.hpp"

namespace burlwind::registry {
namespace {
constexpr std::size_t kMostPages = 200;
constexpr std::size_t kMaxPageBytes = 1 << 20;                // of its body: some 5,000 workers
constexpr std::size_t kMaxListBytes = std::size_t{16} << 20;  // of all bodies of one reading
}  // namespace

bool readPage(const std::string& body, PlatformList::Workers& into, std::string& next, std::string& fault) {
  next.clear();
  const config::ParsedJson json = config::parseJson(body);
  if (!json.value) return fault = json.fault, false;
  const config::Reader root(*json.value, fault);
  const config::Reader servers = root.at("servers");
  for (const auto& [id, one] : servers.fields()) {
    rpc::Worker w;
    w.id = id;
    w.service = one.at("backend").text();
    w.address = one.at("address").text();
    w.zone = one.at("zone").text();
    w.slots =
        one.has("capacity") ? static_cast<unsigned>(std::clamp(one.at("capacity").number(), 1.0, 1e6)) : 1;
    w.draining = one.at("state").text() == "draining";
    if (one.has("coldLeft")) {
      const auto cold = config::milliseconds(one.at("coldLeft").text());
      if (!cold) one.at("coldLeft").fail("is no time");
      w.coldLeft = cold.value_or(0);
    }
    into[std::string(id)] = std::move(w);
  }
  if (root.has("nextToken")) next = root.at("nextToken").text();
  return fault.empty();
}

boost::asio::awaitable<std::optional<PlatformList::Workers>> PlatformList::read(config::Endpoint at,
                                                                                double within,
                                                                                std::string& why) {
  if (!(at == at_)) {
    Error ignored;
    socket_.close(ignored);
    at_ = std::move(at);
  }
  timer_.expires_after(std::chrono::microseconds(static_cast<long>(within * 1000)));
  timer_.async_wait([this](const Error& error) {
    Error ignored;
    if (!error) socket_.close(ignored);
  });
  Workers out;
  std::string next;
  std::size_t bytes = 0;
  bool good = true;
  for (std::size_t page = 0; good && page < kMostPages; ++page) {
    // Named, since GCC 12 destroys a conditional's temporary in an awaited call twice.
    std::string target = "/servers";
    if (!next.empty()) target += "?pageToken=" + next;
    const auto body = co_await get(std::move(target), why);
    bytes += body ? body->size() : 0;
    if (bytes > kMaxListBytes) why = "its pages are too long together";
    good = body && bytes <= kMaxListBytes && readPage(*body, out, next, why);
    if (good) pages_ = page + 1;
    if (next.empty()) break;
  }
  timer_.cancel();
  if (!good || !next.empty()) {
    Error ignored;
    socket_.close(ignored);
    co_return std::nullopt;
  }
  co_return out;
}

boost::asio::awaitable<std::optional<std::string>> PlatformList::get(std::string target, std::string& why) {
  Error error;
  ++calls_;
  if (!socket_.is_open()) {
    const double from = program::now();
    co_await socket_.async_connect({asio::ip::make_address(at_.ip, error), at_.port},
                                   asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      why = "cannot connect: " + error.message();
      co_return std::nullopt;
    }
    connectMs_ = program::now() - from;
    rpc::harden(socket_);
  }
  const std::string ask = "GET " + target + " HTTP/1.1\r\nHost: " + at_.ip + "\r\n\r\n";
  co_await asio::async_write(socket_, asio::buffer(ask), asio::redirect_error(asio::use_awaitable, error));
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxPageBytes);
  beast::flat_buffer in;
  while (!error && !parser.is_done()) {
    const std::size_t n =
        co_await socket_.async_read_some(in.prepare(16384), asio::redirect_error(asio::use_awaitable, error));
    in.commit(n);
    if (!error) feed(parser, in, error);
  }
  if (error) {
    why = "no answer: " + error.message();
    co_return std::nullopt;
  }
  if (!parser.get().keep_alive()) socket_.close(error);
  if (parser.get().result_int() != 200) {
    why = "status " + std::to_string(parser.get().result_int());
    co_return std::nullopt;
  }
  std::optional<std::string> body(std::move(parser.get().body()));
  co_return body;
}

}  // namespace burlwind::registry
