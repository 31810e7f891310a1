// A configuration as an operator sends it, whole and valid, and single fields of it changed.
#pragma once

#include <picojson.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace burlwind::support {

inline picojson::value json(std::string_view text) {
  picojson::value out;
  std::string error;
  picojson::parse(out, text.begin(), text.end(), &error);
  if (!error.empty()) throw std::invalid_argument(error);
  return out;
}

// "r7" on "r5": a split route and a homed one of one host, two services, two tenants.
inline picojson::value validConfiguration() {
  return json(R"({"generation":"r7","parentVersion":"r5",
    "routes":[{"name":"one","hostname":"shop.example","pathPrefix":"/a/","kind":"safe","timeout":"3000ms",
               "target":"500ms","priority":2,"tries":2,"public":false,"homeRegions":[],
               "split":[{"backend":"x","weight":90},{"backend":"y","weight":10}]},
              {"name":"two","hostname":"shop.example","pathPrefix":"/a/b/","kind":"unsafe","timeout":"4s",
               "target":"600ms","priority":0,"tries":1,"public":true,"homeRegions":["leon"],"backend":"y"}],
    "backends":[{"name":"x","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,
                 "coldFor":"3s","coldRateS":13.0},
                {"name":"y","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,
                 "coldFor":"0ms","coldRateS":0}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerRead":"3000ms","idle":"15000ms"},
    "customers":[{"name":"weaver","apiKeys":["k1","k2"],"priority":0,"ratePerS":150,"burst":150,
                  "homeRegions":[]},
                 {"name":"dyer","apiKeys":["k3"],"priority":1,"ratePerS":0,"burst":0,
                  "homeRegions":["celaya"]}]})");
}

// The place of a path such as "routes[0].split[1].weight"; the last step may be a field that isn't there yet.
inline picojson::value& at(picojson::value& root, std::string_view path) {
  picojson::value* here = &root;
  while (!path.empty()) {
    if (path.front() == '.') path.remove_prefix(1);
    if (path.front() == '[') {
      const auto end = path.find(']');
      here = &here->get<picojson::array>().at(std::stoul(std::string(path.substr(1, end - 1))));
      path.remove_prefix(end + 1);
      continue;
    }
    const auto end = std::min(path.find('.'), path.find('['));
    here = &here->get<picojson::object>()[std::string(path.substr(0, end))];
    path.remove_prefix(std::min(end, path.size()));
  }
  return *here;
}

inline void erase(picojson::value& root, const std::string& path) {
  const auto dot = path.rfind('.');
  picojson::value& table = dot == std::string::npos ? root : at(root, path.substr(0, dot));
  table.get<picojson::object>().erase(dot == std::string::npos ? path : path.substr(dot + 1));
}

// The valid one with `value`, as it stands in the text, at `path`; an empty `value` takes the field away.
inline std::string spoilt(const std::string& path, std::string_view value) {
  constexpr const char* kMark = "(here)";
  picojson::value root = validConfiguration();
  if (value.empty()) {
    erase(root, path);
    return root.serialize();
  }
  at(root, path) = picojson::value(kMark);
  const std::string mark = picojson::value(kMark).serialize();
  std::string text = root.serialize();
  return text.replace(text.find(mark), mark.size(), value);
}

inline std::string onParent(std::uint64_t version, std::uint64_t parent) {
  picojson::value root = validConfiguration();
  at(root, "generation") = picojson::value("r" + std::to_string(version));
  at(root, "parentVersion") = picojson::value("r" + std::to_string(parent));
  return root.serialize();
}

}  // namespace burlwind::support
