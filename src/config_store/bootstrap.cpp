#include "config_store/bootstrap.hpp"

#include <utility>
#include <vector>

namespace burlwind::config_store {
namespace {

constexpr consensus::Id kSeedBit = consensus::Id{1} << 63;
constexpr std::uint64_t kFnvOffset = 1469598103934665603ull, kFnvPrime = 1099511628211ull;

}  // namespace

consensus::Id seedId(const std::string& ip) {
  std::uint64_t hash = kFnvOffset;
  for (const char c : ip) hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  return hash | kSeedBit;
}

consensus::PersistentState initialRecord(const config::Settings& settings, consensus::Id drawn) {
  consensus::PersistentState record;
  record.self = drawn & ~kSeedBit;
  if (!settings.firstBoot) return record;
  bool isSeed = false;
  std::vector<rpc::Member> members;
  for (const auto& seed : settings.seeds) {
    members.push_back({seedId(seed.ip), seed.ip});
    isSeed = isSeed || seed.ip == settings.ip;
  }
  if (!isSeed) return record;
  record.self = seedId(settings.ip);
  record.members = std::move(members);
  return record;
}

}  // namespace burlwind::config_store
