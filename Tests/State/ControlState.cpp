//===- Tests/State/ControlState.cpp - Ledger and intent from a log --------===//
///
/// \file
/// Encodes commands and replays them.
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
  for (std::size_t Offset = 0; Offset + 1 < Text.size(); Offset += 2)
    Bytes += static_cast<char>(
        std::stoi(std::string(Text.substr(Offset, 2)), nullptr, 16));
  return Bytes;
}

std::string encodeCommand(std::uint64_t Number, CommandKind Kind,
                          std::int64_t StampMs, std::string_view Bytes) {
  return std::to_string(Number) + " " + static_cast<char>(Kind) + " " +
         std::to_string(StampMs) + " " + toHex(Bytes);
}

ControlState::ControlState()
    : CurrentLedger(std::make_unique<Ledger>()),
      CurrentIntent(std::make_unique<IntentStateMachine>()) {}

void ControlState::replay(const std::vector<std::string> &Log) {
  bool Extends = Log.size() >= this->AppliedCommands.size() &&
                 std::equal(this->AppliedCommands.begin(),
                            this->AppliedCommands.end(), Log.begin());
  if (!Extends)
    *this = ControlState();
  for (std::size_t Position = this->AppliedCommands.size();
       Position < Log.size(); ++Position)
    this->apply(Log[Position]);
}

void ControlState::apply(const std::string &Encoded) {
  std::istringstream Stream(Encoded);
  std::uint64_t Number = 0;
  char Kind = 0;
  std::int64_t StampMs = 0;
  std::string Hex;
  Stream >> Number >> Kind >> StampMs >> Hex;
  this->LastStampMs = std::max(this->LastStampMs, StampMs);
  this->AppliedCommands.push_back(Encoded);
  std::uint64_t Index = this->AppliedCommands.size();
  std::string Bytes = fromHex(Hex);
  bool IsLedgerCommand = Kind == static_cast<char>(CommandKind::Ledger);
  this->Replies.push_back(
      IsLedgerCommand
          ? this->CurrentLedger->apply(Index, this->LastStampMs, Bytes)
          : this->CurrentIntent->apply(Index, this->LastStampMs, Bytes));
}

std::optional<std::string>
ControlState::replyTo(std::string_view Encoded) const {
  auto Found = std::ranges::find(this->AppliedCommands, Encoded);
  if (Found == this->AppliedCommands.end())
    return std::nullopt;
  return this->Replies[Found - this->AppliedCommands.begin()];
}

} // namespace carobhinge::state
