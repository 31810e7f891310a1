#include "model_checking/letter.hpp"

#include <msgpack.hpp>
#include <sstream>
#include <type_traits>

namespace burlwind::model_checking {
namespace {

std::string entry(std::uint64_t term, std::uint64_t index) {
  return std::to_string(term) + "/" + std::to_string(index);
}

std::string text(const rpc::AppendRequest& m) {
  std::ostringstream out;
  out << "AppendRequest(term " << m.term << ", round " << m.round << ", entry " << entry(m.lastTerm, m.index)
      << ", committed " << m.committed
      << (m.whole   ? ", with the state)"
          : m.patch ? ", with a patch of " + entry(m.baseTerm, m.baseIndex) + ")"
                    : ")");
  return out.str();
}

std::string text(const rpc::AppendResponse& m) {
  std::ostringstream out;
  out << "AppendResponse(term " << m.term << ", round " << m.round << ", holds " << entry(m.lastTerm, m.index)
      << ")";
  return out.str();
}

std::string text(const rpc::VoteRequest& m) {
  std::ostringstream out;
  out << (m.preVote ? "PreVoteRequest(term " : "VoteRequest(term ") << m.term << ", holds "
      << entry(m.lastTerm, m.index) << (m.handover ? ", handed over)" : ")");
  return out.str();
}

std::string text(const rpc::VoteResponse& m) {
  std::ostringstream out;
  out << (m.preVote ? "PreVoteResponse(term " : "VoteResponse(term ") << m.term
      << (m.granted ? ", granted)" : ", refused)");
  return out.str();
}

std::string text(const rpc::TimeoutNow& m) {
  return "TimeoutNow(term " + std::to_string(m.term) + ", entry " + entry(m.lastTerm, m.index) + ")";
}

std::string text(const rpc::StatePiece& m) {
  std::ostringstream out;
  out << "StatePiece(term " << m.term << ", round " << m.round << ", entry " << entry(m.lastTerm, m.index)
      << ", bytes " << m.offset << " to " << m.offset + m.data.size() << " of " << m.size << ")";
  return out.str();
}

std::string text(const rpc::StatePieceResponse& m) {
  std::ostringstream out;
  out << "StatePieceResponse(term " << m.term << ", round " << m.round << ", entry "
      << entry(m.lastTerm, m.index) << (m.refused ? ", refused)" : ", has " + std::to_string(m.held) + ")");
  return out.str();
}

}  // namespace

LetterPtr makeLetter(consensus::Id from, const consensus::Send& send) {
  FingerprintBuilder content;
  msgpack::sbuffer packed;
  std::visit([&](const auto& message) { msgpack::pack(packed, message); }, send.message);
  content.add(from);
  content.add(send.to);
  content.add(send.message.index());
  content.add(std::string_view(packed.data(), packed.size()));
  return std::make_shared<const Letter>(Letter{from, send.to, send.message, content.result()});
}

std::string describe(const consensus::Message& message) {
  return std::visit([](const auto& m) { return text(m); }, message);
}

bool isAnswer(const consensus::Message& message) {
  return std::holds_alternative<rpc::AppendResponse>(message) ||
         std::holds_alternative<rpc::VoteResponse>(message) ||
         std::holds_alternative<rpc::StatePieceResponse>(message);
}

std::uint64_t termOf(const consensus::Message& message) {
  return std::visit([](const auto& m) { return m.term; }, message);
}

}  // namespace burlwind::model_checking
