#include "rehearsal/daemon.hpp"

#include "rehearsal/world.hpp"
#include "snapshot/files.hpp"

namespace burlwind::rehearsal {
namespace {

void replaceFile(const std::string& path, const std::string& text) {
  snapshot::DiskFiles files;
  if (const std::string wrong = snapshot::replace(files, path, text); !wrong.empty()) throw SetupError(wrong);
}

}  // namespace

void Daemon::writeConfig(const std::string& json) const { replaceFile(path_ + ".json", json); }

void Daemon::writeOperatorFile(const std::string& text) {
  operatorPath_ = path_ + ".toml";
  replaceFile(operatorPath_, text);
}

void Daemon::start(const std::string& listen, const std::string& discovery) {
  Process::start(command_ + (operatorPath_.empty() ? "" : " --operator '" + operatorPath_ + "'"),
                 {{"BALANCER_NAME", name()},
                  {"BALANCER_LISTEN", listen},
                  {"BALANCER_DISCOVERY", discovery},
                  {"BALANCER_CONFIG", path_ + ".json"}});
}

}  // namespace burlwind::rehearsal
