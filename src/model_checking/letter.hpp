// A message on its way between two replicas, and how it reads in a timeline.
#pragma once

#include <memory>
#include <string>

#include "consensus/core.hpp"
#include "model_checking/fingerprint.hpp"

namespace burlwind::model_checking {

struct Letter {
  consensus::Id from = 0, to = 0;
  consensus::Message message;
  Fingerprint fingerprint = 0;  // of all before
};
using LetterPtr = std::shared_ptr<const Letter>;

LetterPtr makeLetter(consensus::Id from, const consensus::Send& send);
std::string describe(const consensus::Message& message);
// Nothing for what is not an answer: an answer of an older term than its receiver's changes nothing there.
bool isAnswer(const consensus::Message& message);
std::uint64_t termOf(const consensus::Message& message);

}  // namespace burlwind::model_checking
