//===- Tests/State/ControlState.cpp - Ledger and intent from a log --------===//
///
/// \file
/// Encoding of commands, and their replay.
///
//===----------------------------------------------------------------------===//

#include "ControlState.h"

#include <algorithm>
#include <sstream>

namespace carobhinge::state {

static std::string toHex(std::string_view Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (unsigned char Byte : Bytes) {
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & 15U];
  }
  return Text;
}

static std::string fromHex(std::string_view Text) {
  std::string Bytes;
  for (std::size_t At = 0; At + 1 < Text.size(); At += 2)
    Bytes += static_cast<char>(
        std::stoi(std::string(Text.substr(At, 2)), nullptr, 16));
  return Bytes;
}

std::string encodeCommand(std::uint64_t Number, CommandKind Kind,
                          std::int64_t StampMs, std::string_view Bytes) {
  return std::to_string(Number) + " " + static_cast<char>(Kind) + " " +
         std::to_string(StampMs) + " " + toHex(Bytes);
}

ControlState::ControlState()
    : Records(std::make_unique<Ledger>()),
      Versions(std::make_unique<IntentStateMachine>()) {}

void ControlState::follow(const std::vector<std::string> &Newest) {
  bool Extends =
      Newest.size() >= this->Applied.size() &&
      std::equal(this->Applied.begin(), this->Applied.end(), Newest.begin());
  if (!Extends)
    *this = ControlState();
  for (std::size_t At = this->Applied.size(); At < Newest.size(); ++At)
    this->apply(Newest[At]);
}

void ControlState::apply(const std::string &Encoded) {
  std::istringstream Stream(Encoded);
  std::uint64_t Number = 0;
  char Kind = 0;
  std::int64_t StampMs = 0;
  std::string Hex;
  Stream >> Number >> Kind >> StampMs >> Hex;
  this->LastStampMs = std::max(this->LastStampMs, StampMs);
  this->Applied.push_back(Encoded);
  std::uint64_t Index = this->Applied.size();
  std::string Bytes = fromHex(Hex);
  bool ForLedger = Kind == static_cast<char>(CommandKind::Ledger);
  this->Replies.push_back(
      ForLedger ? this->Records->apply(Index, this->LastStampMs, Bytes)
                : this->Versions->apply(Index, this->LastStampMs, Bytes));
}

std::optional<std::string>
ControlState::replyTo(std::string_view Encoded) const {
  auto Found = std::ranges::find(this->Applied, Encoded);
  if (Found == this->Applied.end())
    return std::nullopt;
  return this->Replies[Found - this->Applied.begin()];
}

} // namespace carobhinge::state
