// The proxy's connections from clients: takes them, reads one request at a time from each, has it handled and
// writes its answer before the next one is read, so that answers stand in the order of their requests.
//
// A request that does not read, or that does not fit beside the bodies that are held, is refused by its head
// and the connection is closed behind the answer. Nothing that is given up is held.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <utility>

#include "proxy/answer_figures.hpp"
#include "proxy/client_connection.hpp"
#include "proxy/client_request.hpp"
#include "proxy/departure_figures.hpp"

namespace burlwind::proxy {

class ClientServer {
 public:
  // Ends with the request's answer standing.
  using Handler = std::function<asio::awaitable<void>(ClientRequest&)>;
  using Limits = std::function<config::ClientLimits()>;
  // bytes: of bodies that are held whole, both ways. Connections share it: their coroutines end with the
  // loop, which may outlive this object.
  ClientServer(asio::io_context& io, std::shared_ptr<Budget> bytes,
               std::shared_ptr<DepartureFigures> departures, std::shared_ptr<AnswerFigures> answers,
               Limits limits, Handler handler);
  ~ClientServer();
  ClientServer(const ClientServer&) = delete;
  ClientServer& operator=(const ClientServer&) = delete;
  Error listen(const std::string& ip, std::uint16_t port);
  void closeBehindAnswers() { closeBehindAnswers_ = true; }  // each connection ends with its next answer
  void stopAccepting();
  std::uint16_t port() const;  // that it listens at
  bool accepting() const { return acceptor_.is_open(); }
  void closeIdle();  // those on which no request has begun
  bool empty() const { return connections_.empty(); }
  void report();  // logs the answers given since the last report

 private:
  using ConnectionPtr = std::shared_ptr<ClientConnection>;
  enum class Read { request, refused, ended };
  asio::awaitable<void> accept();
  asio::awaitable<void> serve(ConnectionPtr connection);
  asio::awaitable<void> handle(ClientRequest& request);
  void end(const ConnectionPtr& connection);
  asio::awaitable<Read> readRequest(ConnectionPtr connection, ClientRequest& request);
  asio::awaitable<bool> writeAnswer(ConnectionPtr connection, const ClientRequest& request, bool close);

  asio::io_context& io_;
  const std::shared_ptr<Budget> bytes_;
  const std::shared_ptr<DepartureFigures> departures_;
  const std::shared_ptr<AnswerFigures> answerFigures_;
  const Limits limits_;
  const Handler handler_;
  Tcp::acceptor acceptor_;
  std::set<ConnectionPtr> connections_;
  std::map<std::pair<unsigned, std::string_view>, std::uint64_t> answers_;  // by status and reason
  bool closeBehindAnswers_ = false;
};

}  // namespace burlwind::proxy
