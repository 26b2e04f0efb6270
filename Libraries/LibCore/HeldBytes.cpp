//===- LibCore/HeldBytes.cpp - A holder's share of the byte budget --------===//

#include <LibCore/HeldBytes.h>

namespace carobhinge {

bool SharedByteBudget::mayAdmit(std::size_t Bytes) const {
  std::lock_guard Guard(this->Shared->Lock);
  return this->Shared->Budget.mayAdmit(Bytes);
}

bool SharedByteBudget::mayAdmitRequest(std::size_t Bytes) const {
  std::lock_guard Guard(this->Shared->Lock);
  return this->Shared->Budget.mayAdmitRequest(monotonicNow(), Bytes);
}

std::size_t SharedByteBudget::heldBytes() const {
  std::lock_guard Guard(this->Shared->Lock);
  return this->Shared->Budget.heldBytes();
}

std::size_t SharedByteBudget::givenUp() const {
  std::lock_guard Guard(this->Shared->Lock);
  return this->Shared->GivenUpCount;
}

HeldBytes::HeldBytes(const SharedByteBudget &Budget, HeldWork Work,
                     std::function<void()> OnGivenUp)
    : Shared(Budget.Shared) {
  std::lock_guard Guard(this->Shared->Lock);
  this->Id = this->Shared->Budget.add(Work);
  this->Shared->Callbacks.emplace(this->Id, std::move(OnGivenUp));
}

HeldBytes::~HeldBytes() {
  std::lock_guard Guard(this->Shared->Lock);
  this->Shared->Budget.remove(this->Id);
  this->Shared->Callbacks.erase(this->Id);
}

bool HeldBytes::change(HeldWork Work) {
  std::lock_guard Guard(this->Shared->Lock);
  return this->Shared->Budget.change(this->Id, Work);
}

void HeldBytes::expectProgress(Duration Time) {
  std::lock_guard Guard(this->Shared->Lock);
  this->Shared->Budget.expectProgress(this->Id, monotonicNow() + Time);
}

bool HeldBytes::replaceCallback(std::function<void()> Callback) {
  std::lock_guard Guard(this->Shared->Lock);
  auto Found = this->Shared->Callbacks.find(this->Id);
  if (Found == this->Shared->Callbacks.end())
    return false;
  Found->second = std::move(Callback);
  return true;
}

bool HeldBytes::resize(std::size_t Bytes) {
  std::vector<std::function<void()>> Calls;
  bool IsKept = true;
  {
    std::lock_guard Guard(this->Shared->Lock);
    for (ByteBudget::HolderId Each :
         this->Shared->Budget.resize(monotonicNow(), this->Id, Bytes)) {
      ++this->Shared->GivenUpCount;
      auto Found = this->Shared->Callbacks.find(Each);
      if (Each != this->Id && Found->second)
        Calls.push_back(std::move(Found->second));
      this->Shared->Callbacks.erase(Found);
    }
    IsKept = this->Shared->Callbacks.contains(this->Id);
  }
  for (const std::function<void()> &Call : Calls)
    Call();
  return IsKept;
}

} // namespace carobhinge
