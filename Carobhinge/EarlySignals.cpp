//===- Carobhinge/EarlySignals.cpp - Before the first library runs --------===//
///
/// \file
/// Ignores SIGHUP before any library is set up: a reload must not end a process
/// that starts. Settings are read later, so that no reload is lost. SIGTERM
/// ends a process that has done nothing yet, as it shall.
///
//===----------------------------------------------------------------------===//

#include <csignal>
#include <cstddef>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

/// As the kernel reads it. The order of the fields after the first one depends
/// on the architecture; all of them are zero.
struct KernelSignalAction {
  void (*Handler)(int);
  unsigned long Rest[3];
};

/// The size of a signal set of the kernel, in bytes.
constexpr std::size_t KernelSignalSetSize = 8;

/// Nothing but the C library is set up. A sanitizer's runtime that replaces
/// signal() isn't, so the kernel is called. A failure leaves what main() does.
void ignoreReload() {
  const KernelSignalAction Ignore = {.Handler = SIG_IGN, .Rest = {}};
  syscall(SYS_rt_sigaction, SIGHUP, &Ignore, nullptr, KernelSignalSetSize);
}

/// The loader calls these once all libraries are in place.
__attribute__((section(".preinit_array"),
               used)) void (*const FirstCall)() = ignoreReload;

} // namespace
