//===- LibTelemetry/MemoryMetrics.cpp - Metrics of the memory -------------===//

#include <LibTelemetry/MemoryMetrics.h>

#include <fstream>
#include <optional>
#include <unistd.h>

namespace carobhinge {

/// Returns nothing if the system does not tell.
static std::optional<double> residentBytes() {
  std::ifstream File("/proc/self/statm");
  double TotalPages = 0;
  double ResidentPages = 0;
  if (!(File >> TotalPages >> ResidentPages))
    return std::nullopt;
  return ResidentPages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

void reportMemory(Metrics &Output, const SharedByteBudget &Budget) {
  Output.setGauge("held_bytes", static_cast<double>(Budget.heldBytes()));
  Output.setGauge("held_bytes_limit", static_cast<double>(Budget.limit()));
  Output.setGauge("held_bytes_given_up", static_cast<double>(Budget.givenUp()));
  if (std::optional<double> Resident = residentBytes())
    Output.setGauge("resident_memory_bytes", *Resident);
}

} // namespace carobhinge
