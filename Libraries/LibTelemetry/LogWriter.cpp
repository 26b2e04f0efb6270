//===- LibTelemetry/LogWriter.cpp - Non-blocking writer of log lines ------===//

#include <LibTelemetry/LogWriter.h>

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace carobhinge {

LogWriter::LogWriter(LogWriterOptions Options) : Options(Options) {
  this->OldFlags = ::fcntl(Options.Descriptor, F_GETFL);
  if (this->OldFlags >= 0)
    ::fcntl(Options.Descriptor, F_SETFL, this->OldFlags | O_NONBLOCK);
}

LogWriter::~LogWriter() {
  if (this->OldFlags >= 0)
    ::fcntl(this->Options.Descriptor, F_SETFL, this->OldFlags);
}

bool LogWriter::admit(TimePoint Now, std::string_view Event, bool Important) {
  std::lock_guard Guard(this->Lock);
  auto Found = this->Events.find(Event);
  if (Found == this->Events.end())
    Found = this->Events.emplace(std::string(Event), SecondCounts()).first;
  SecondCounts &Counts = Found->second;
  if (Counts.StartedAt == TimePoint::min() ||
      Now - Counts.StartedAt >= std::chrono::seconds(1))
    Counts = {.StartedAt = Now};
  bool IsWithinLimit =
      Important ? ++Counts.Important <= this->Options.ImportantPerSecond
                : ++Counts.Ordinary <= this->Options.LinesPerSecond;
  if (IsWithinLimit)
    return true;
  ++this->Omitted;
  return false;
}

void LogWriter::write(std::string Line, bool Important) {
  Line += '\n';
  std::lock_guard Guard(this->Lock);
  this->flush();
  auto MaxBytes = static_cast<double>(this->Options.BufferBytes);
  if (!Important)
    MaxBytes *= this->Options.OrdinaryShare;
  if (static_cast<double>(this->PendingBytes + Line.size()) > MaxBytes) {
    ++this->Omitted;
    return;
  }
  this->PendingBytes += Line.size();
  this->Pending.push_back(std::move(Line));
  this->flush();
}

void LogWriter::flush() {
  while (!this->Pending.empty()) {
    const std::string &First = this->Pending.front();
    ssize_t Count =
        ::write(this->Options.Descriptor, First.data() + this->Written,
                First.size() - this->Written);
    if (Count <= 0)
      return;
    this->Written += static_cast<std::size_t>(Count);
    if (this->Written < First.size())
      return;
    this->PendingBytes -= First.size();
    this->Written = 0;
    this->Pending.pop_front();
  }
}

std::uint64_t LogWriter::takeOmitted() {
  std::lock_guard Guard(this->Lock);
  return std::exchange(this->Omitted, 0);
}

} // namespace carobhinge
