// The operator file: what an installation may set beyond what the platform tells a gatekeeper. TOML, one
// section a subsystem, every key optional. It is checked whole before anything of it is used; it decides
// nothing. Read at the start (bounded by the file's size), by --check, and on a reload.
#pragma once

#include <chrono>
#include <string>

#include "admission/core.hpp"
#include "auth/answering.hpp"
#include "auth/asking.hpp"

namespace burlwind {

// All times in milliseconds. Where a default is `platform`, what the platform's configuration gives holds.
struct OperatorSettings {
  std::string file;  // where they come from
  struct Clients {
    std::chrono::milliseconds idle{8000};          // a connection between two requests is closed after this
    std::chrono::milliseconds wholeWithin{2500};   // a request, from its first byte
    std::chrono::milliseconds writeWithin{10000};  // an answer that its reader does not take
    double readAheadShare = 0.25;  // of the memory for messages: long answers of plans with a cap, read ahead
  } clients;
  struct Admission {
    double reserveShare = 0.25;    // of the connections: so many that were served make no room for others
    double idleShare = 0.125;      // of the connections: so many may wait between requests, 8 at least
    admission::Settings settings;  // caps of a source and its prefix; connections come from the platform
  } admission;
  // The only section that a reload takes anew.
  auth::Asked auth;             // off without checkers
  auth::AnswerSettings answer;  // off without a path
  struct Workers {
    std::chrono::milliseconds answerWithin{600};  // an answer that has begun, without a further byte
    std::size_t idlePerWorker = 64;               // connections kept between attempts
  } workers;
  struct Snapshot {
    bool enabled = false;  // the state outlives the process, on a disk that lasts
    std::string folder;    // is there
    std::chrono::milliseconds every{1000};
  } snapshot;
  struct Discovery {
    std::chrono::milliseconds silence{4500};     // a watch without a line for so long is opened anew
    std::chrono::milliseconds backoffMost{500};  // between tries
  } discovery;
};

// Both throw FileError: one line that names the file, the key and the reason.
OperatorSettings readOperatorFile(const std::string& path);
OperatorSettings parseOperatorFile(std::string_view text, const std::string& name);

}  // namespace burlwind
