// The record of a store whose disk is empty.
#pragma once

#include <cstdint>
#include <string>

#include "config/settings.hpp"
#include "consensus/core.hpp"

namespace burlwind::config_store {

// The id of a seed at the first start of all, made from its address: each seed finds the others' ids by
// itself. The top bit keeps these ids apart from drawn ones.
consensus::Id seedId(const std::string& ip);

// A replica under the id `drawn` (its top bit is cleared) that waits to be let in; at the first start of all
// a seed is a member, under its seedId, together with the other seeds.
consensus::PersistentState initialRecord(const config::Settings& settings, consensus::Id drawn);

}  // namespace burlwind::config_store
