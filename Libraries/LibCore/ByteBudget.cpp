//===- LibCore/ByteBudget.cpp - Bytes that a process may hold -------------===//

#include <LibCore/ByteBudget.h>

#include <algorithm>
#include <tuple>

namespace carobhinge {

/// New work may fill the budget up to this fraction. The rest lets what has
/// begun come to its end.
static constexpr double AdmissionFraction = 0.75;

/// A buffer that grows needs twice its bytes for a moment, and an answer is
/// copied once when it is passed on: held bytes take up to half of the memory
/// at this fraction. The other half is the process itself.
static constexpr double HeldFraction = 0.25;

std::size_t byteBudgetLimit(std::size_t MemoryBytes) {
  return static_cast<std::size_t>(HeldFraction *
                                  static_cast<double>(MemoryBytes));
}

/// A repeatable answer past this part of the limit, one 512th, is given up
/// before the answers of most requests, and takes no place from new ones.
static constexpr std::size_t LargeAnswerDivisor = 512;

/// Returns whether \p Bytes more may be admitted beside \p Held.
static bool hasPlace(std::size_t Held, std::size_t Bytes, std::size_t Limit) {
  return static_cast<double>(Held) + static_cast<double>(Bytes) <=
         AdmissionFraction * static_cast<double>(Limit);
}

bool ByteBudget::mayAdmit(std::size_t Bytes) const {
  return hasPlace(this->Held, Bytes, this->Limit);
}

HeldWork ByteBudget::Holder::worth(TimePoint Now) const {
  bool IsTaken =
      this->Work != HeldWork::CompleteAnswer || Now < this->ProgressUntil;
  return IsTaken ? this->Work : HeldWork::UnreadRequest;
}

bool ByteBudget::mayAdmitRequest(TimePoint Now, std::size_t Bytes) const {
  if (this->mayAdmit(Bytes))
    return true;
  std::size_t Kept = this->Held;
  auto IsGivenUpFirst = [&](const Holder &Each) {
    if (Each.Work == HeldWork::RepeatableAnswer)
      return Each.Bytes > this->Limit / LargeAnswerDivisor;
    return Each.worth(Now) == HeldWork::UnreadRequest && Each.Bytes > Bytes;
  };
  for (const auto &[Id, Each] : this->Holders)
    if (IsGivenUpFirst(Each))
      Kept -= Each.Bytes;
  return hasPlace(Kept, Bytes, this->Limit);
}

ByteBudget::HolderId ByteBudget::add(HeldWork Work) {
  this->Holders.emplace(++this->LastId, Holder{.Work = Work});
  return this->LastId;
}

void ByteBudget::remove(HolderId Id) {
  auto Found = this->Holders.find(Id);
  if (Found == this->Holders.end())
    return;
  this->Held -= Found->second.Bytes;
  this->Holders.erase(Found);
}

bool ByteBudget::change(HolderId Id, HeldWork Work) {
  auto Found = this->Holders.find(Id);
  if (Found == this->Holders.end())
    return false;
  Found->second.Work = Work;
  return true;
}

void ByteBudget::expectProgress(HolderId Id, TimePoint Until) {
  auto Found = this->Holders.find(Id);
  if (Found != this->Holders.end())
    Found->second.ProgressUntil = Until;
}

ByteBudget::HolderId ByteBudget::chooseLeastUseful(TimePoint Now) const {
  auto Rank = [Now](const auto &Entry) {
    const Holder &Each = Entry.second;
    return std::tuple(Each.Bytes == 0, Each.worth(Now), ~Each.Bytes,
                      ~Entry.first);
  };
  return std::ranges::min_element(this->Holders, {}, Rank)->first;
}

std::vector<ByteBudget::HolderId> ByteBudget::resize(TimePoint Now, HolderId Id,
                                                     std::size_t Bytes) {
  std::vector<HolderId> GivenUp;
  auto Found = this->Holders.find(Id);
  if (Found == this->Holders.end())
    return GivenUp;
  this->Held = this->Held - Found->second.Bytes + Bytes;
  Found->second.Bytes = Bytes;
  while (this->Held > this->Limit) {
    GivenUp.push_back(this->chooseLeastUseful(Now));
    this->remove(GivenUp.back());
  }
  return GivenUp;
}

} // namespace carobhinge
