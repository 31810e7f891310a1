// What the tests of the program tell it: its configuration, discovery's list, clients' requests.
#pragma once

#include <nlohmann/json.hpp>

#include "node/gatekeeper.hpp"
#include "support/peers.hpp"

namespace burlwind::test {

using nlohmann::json;

inline json entry(const std::string& id, const std::string& address, const std::string& lifecycle = "Ready",
                  double startedAtMs = 0) {
  return {{"instanceId", id}, {"hostPort", address},    {"zone", "a"},   {"machineType", "m"},
          {"cell", 0},        {"lifecycle", lifecycle}, {"weight", 1.0}, {"startedAtMs", startedAtMs}};
}

inline std::string roster(int generation, bool reset, const json& instances) {
  return json{{"generation", generation}, {"reset", reset}, {"instances", instances}}.dump();
}

inline json settingsJson() {
  return json::parse(R"({
    "me": 0, "nInstances": 2, "locality": 0, "localities": ["a", "b"], "shapes": ["m"],
    "discovery": "pushed",
    "permissions": {"attemptsCap": 4, "dialTimeout": 5000.0, "connIdle": 30000.0, "maxRetryAfter": 1000.0},
    "familyInfo": {"metering": 1000.0, "truedUp": false, "mostUnits": 2},
    "report": {"how": "answers", "fields": ["util", "queue"]},
    "rules": {"stopSendingWithin": 1000.0, "coldFrom": 0.2, "warmUp": 1000.0, "fallMultiple": 2.5,
              "overloadFor": 1000.0},
    "profiles": [
      {"name": "look", "aim": 20000.0, "deadline": 60000.0, "repeat": "safe", "window": 0.0, "worth": 1.0},
      {"name": "edit", "aim": 20000.0, "deadline": 60000.0, "repeat": "keyed", "dedupScope": "zone",
       "window": 60000.0, "worth": 2.0},
      {"name": "order", "aim": 20000.0, "deadline": 60000.0, "repeat": "unsafe", "worth": 3.0}],
    "plans": [
      {"name": "small", "unitsPerS": 0.001, "depth": 1.0, "pays": 1.0, "overrunCost": 1.0},
      {"name": "large", "unitsPerS": 1000.0, "depth": 1000.0, "pays": 1.0, "overrunCost": 1.0}]})");
}

inline json configJson(const std::string& discovery, const json& known = {}) {
  json out{{"name", "n0"},
           {"listen", "127.0.0.1:0"},
           {"discovery", discovery},
           {"seed", "8c1f30d27a5be964"},
           {"limits", {{"sockets", 256}}},
           {"settings", settingsJson()}};
  if (!known.is_null()) out["known"] = json::parse(roster(1, true, known));
  return out;
}

struct Ask {
  std::string klass = "look";
  std::string plan = "large";
  std::string id = "00000000000000a1";
  std::string query = "client=00000000b4d65521";
  std::string deadline = "60000";
  std::string terms = "units=1,spread=2,first=1";
  std::string extra;
  std::string body;

  std::string text() const {
    std::string out = (klass == "look" ? "GET /" : "POST /") + klass + "?" + query + " HTTP/1.1\r\n";
    out += "Host: backend.local\r\nReq-Id: " + id + "\r\nX-Tier: " + plan + "\r\n";
    out += "Req-Deadline-Ms: " + deadline + "\r\nX-Call-Terms: " + terms + "\r\n" + extra;
    if (klass == "edit") out += "Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n";
    if (klass != "look") out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
  }
};

}  // namespace burlwind::test
