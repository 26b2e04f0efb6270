//===- LibTelemetry/LineSink.cpp - Log lines that never hold up a request -===//

#include <LibTelemetry/LineSink.h>

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace carobhinge {

LineSink::LineSink(LineSinkOptions Options) : Options(Options) {
  this->OldFlags = ::fcntl(Options.Descriptor, F_GETFL);
  if (this->OldFlags >= 0)
    ::fcntl(Options.Descriptor, F_SETFL, this->OldFlags | O_NONBLOCK);
}

LineSink::~LineSink() {
  if (this->OldFlags >= 0)
    ::fcntl(this->Options.Descriptor, F_SETFL, this->OldFlags);
}

bool LineSink::admit(TimePoint Now, std::string_view Event, bool Important) {
  std::lock_guard Guard(this->Lock);
  auto Found = this->Events.find(Event);
  if (Found == this->Events.end())
    Found = this->Events.emplace(std::string(Event), Second()).first;
  Second &Its = Found->second;
  if (Its.Began == TimePoint::min() ||
      Now - Its.Began >= std::chrono::seconds(1))
    Its = {.Began = Now};
  bool Fits = Important ? ++Its.Important <= this->Options.ImportantPerSecond
                        : ++Its.Ordinary <= this->Options.LinesPerSecond;
  if (Fits)
    return true;
  ++this->Omitted;
  return false;
}

void LineSink::write(std::string Line, bool Important) {
  Line += '\n';
  std::lock_guard Guard(this->Lock);
  this->flush();
  auto Most = static_cast<double>(this->Options.KeptBytes);
  if (!Important)
    Most *= this->Options.OrdinaryShare;
  if (static_cast<double>(this->WaitingBytes + Line.size()) > Most) {
    ++this->Omitted;
    return;
  }
  this->WaitingBytes += Line.size();
  this->Waiting.push_back(std::move(Line));
  this->flush();
}

/// Under Lock. Stops as soon as the descriptor takes nothing more.
void LineSink::flush() {
  while (!this->Waiting.empty()) {
    const std::string &First = this->Waiting.front();
    ssize_t Count =
        ::write(this->Options.Descriptor, First.data() + this->Written,
                First.size() - this->Written);
    if (Count <= 0)
      return;
    this->Written += static_cast<std::size_t>(Count);
    if (this->Written < First.size())
      return;
    this->WaitingBytes -= First.size();
    this->Written = 0;
    this->Waiting.pop_front();
  }
}

std::uint64_t LineSink::takeOmitted() {
  std::lock_guard Guard(this->Lock);
  return std::exchange(this->Omitted, 0);
}

} // namespace carobhinge
