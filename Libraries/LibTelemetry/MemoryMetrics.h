//===- LibTelemetry/MemoryMetrics.h - Metrics of the memory ---------------===//
///
/// \file
/// The gauges that tell operators how near a process is to its memory limit.
///
//===----------------------------------------------------------------------===//

#ifndef LIBTELEMETRY_MEMORYMETRICS_H
#define LIBTELEMETRY_MEMORYMETRICS_H

#include <LibCore/HeldBytes.h>
#include <LibTelemetry/Metrics.h>

namespace carobhinge {

/// Sets the gauges of \p Budget and of the process's resident memory.
void reportMemory(Metrics &Output, const SharedByteBudget &Budget);

} // namespace carobhinge

#endif // LIBTELEMETRY_MEMORYMETRICS_H
