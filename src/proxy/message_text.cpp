#include "proxy/message_text.hpp"

#include <algorithm>
#include <boost/beast/http/rfc7230.hpp>
#include <cstdio>

#include "control_api/server.hpp"

namespace burlwind::proxy {
namespace {

constexpr std::size_t kUsualHeadBytes = 512;

enum class Direction { toWorker, toClient };

template <class Names>
bool contains(const Names& names, beast::string_view name) {
  return std::any_of(std::begin(names), std::end(names),
                     [&](const char* known) { return beast::iequals(name, known); });
}

// Fields that concern one connection alone, and those that the proxy writes itself.
bool isOwnField(beast::string_view name, Direction direction) {
  static const char* const eitherWay[] = {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
                                          "TE",         "Trailer",    "Upgrade",          "Content-Length"};
  static const char* const toWorker[] = {"Api-Key", "Tenant", "Time-Left-Ms", "Target-Server", "Expect"};
  static const char* const toClient[] = {"Server-Load", "Not-Run", "Server-Id"};
  if (contains(eitherWay, name)) return true;
  return direction == Direction::toWorker ? contains(toWorker, name) : contains(toClient, name);
}

void appendField(std::string& out, std::string_view name, std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

template <class Fields>
void copyFields(std::string& out, const Fields& fields, Direction direction) {
  http::token_list connectionFields(fields[http::field::connection]);
  for (const auto& field : fields) {
    if (isOwnField(field.name_string(), direction)) continue;
    if (connectionFields.exists(field.name_string())) continue;
    appendField(out, view(field.name_string()), view(field.value()));
  }
}

std::string secondsText(double ms) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", ms / 1000);
  return text;
}

bool hasBody(unsigned status) { return status != 204 && status != 304; }

void appendWorkerAnswer(std::string& out, const http::response<http::string_body>& answer, bool head,
                        bool close) {
  out.append(view(answer.reason())).append("\r\n");
  copyFields(out, answer, Direction::toClient);
  if (head && answer.count(http::field::content_length) > 0)
    appendField(out, "Content-Length", view(answer[http::field::content_length]));
  else if (!head && hasBody(answer.result_int()))
    appendField(out, "Content-Length", std::to_string(answer.body().size()));
  if (close) appendField(out, "Connection", "close");
  out.append("\r\n");
}

void appendOwnAnswer(std::string& out, const ClientRequest& request, bool head, bool close) {
  const ClientAnswer& answer = request.answer;
  const std::string body = control_api::message(answer.reason);
  out.append(view(http::obsolete_reason(static_cast<http::status>(answer.status)))).append("\r\n");
  if (const auto id = request.field("Try-Id"); !id.empty()) appendField(out, "Try-Id", id);
  if (answer.retryAfterMs >= 0) appendField(out, "Retry-After", secondsText(answer.retryAfterMs));
  if (close) appendField(out, "Connection", "close");
  appendField(out, "Content-Type", "application/json");
  appendField(out, "Content-Length", std::to_string(body.size()));
  out.append("\r\n");
  if (!head) out.append(body);
}

bool answersHead(const ClientRequest& request) { return request.message.method() == http::verb::head; }

}  // namespace

std::string workerRequestHead(const ClientRequest& request, const std::string& worker, double leftMs) {
  const auto& message = request.message;
  std::string out;
  out.reserve(kUsualHeadBytes);
  out.append(view(message.method_string())).append(" ").append(view(message.target()));
  out.append(" HTTP/1.1\r\n");
  copyFields(out, message, Direction::toWorker);
  appendField(out, "Time-Left-Ms", std::to_string(static_cast<long>(std::max(1.0, leftMs))));
  appendField(out, "Target-Server", worker);
  if (request.tenant) appendField(out, "Tenant", request.tenant->name);
  if (!message.body().empty() || message.count(http::field::content_length) > 0 || message.chunked())
    appendField(out, "Content-Length", std::to_string(message.body().size()));
  return out.append("\r\n");
}

std::string clientAnswerText(const ClientRequest& request, bool close) {
  std::string out = "HTTP/1.1 " + std::to_string(request.answer.statusCode()) + " ";
  if (request.answer.fromWorker)
    appendWorkerAnswer(out, *request.answer.fromWorker, answersHead(request), close);
  else
    appendOwnAnswer(out, request, answersHead(request), close);
  return out;
}

std::string_view workerBodyOf(const ClientRequest& request) {
  if (answersHead(request) || !request.answer.fromWorker) return {};
  return request.answer.fromWorker->body();
}

}  // namespace burlwind::proxy
