// Starts a coroutine that nobody waits for. What it throws ends it and is logged: "task ended by an
// exception", with the task's name and the reason. What it held is released by its objects.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <string_view>
#include <utility>

#include "program/log.hpp"

namespace burlwind::program {

// task: literal text. onException: called behind the log line, from the loop.
inline void spawn(boost::asio::io_context& io, boost::asio::awaitable<void> coroutine, std::string_view task,
                  std::function<void()> onException = {}) {
  boost::asio::co_spawn(io, std::move(coroutine),
                        [task, onException = std::move(onException)](const std::exception_ptr& thrown) {
                          if (!thrown) return;
                          try {
                            std::rethrow_exception(thrown);
                          } catch (const std::exception& exception) {
                            error("task ended by an exception", {{"task", task}, {"why", exception.what()}});
                          } catch (...) {
                            error("task ended by an exception", {{"task", task}, {"why", "unknown"}});
                          }
                          if (onException) onException();
                        });
}

}  // namespace burlwind::program
