//===- LibStandIn/EngineStandIn.h - A small model engine for tests --------===//
///
/// \file
/// Behaves as the model engines do towards the system: announces itself, takes
/// orders, loads weights, is cold at first and fails under more work than it
/// bears, batches up to a limit, streams answers, resumes and cancels them.
/// What it generates depends only on the prompt, so that a caller can check
/// that an answer is whole and its own.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSTANDIN_ENGINESTANDIN_H
#define LIBSTANDIN_ENGINESTANDIN_H

#include <LibFleet/Order.h>
#include <LibHTTP/HttpServer.h>
#include <LibStandIn/Announcer.h>
#include <memory>

namespace carobhinge {

struct EngineStandInOptions {
  std::string Listen;
  std::vector<std::string> EntryHosts;
  EndpointName Endpoint;
  HostName Host;
  FailureDomainName FailureDomain;
  FabricDomainName FabricDomain;
  ServiceName Service;
  std::uint32_t Accelerators = 8;
  std::uint32_t BatchLimit = 8;
  bool ChecksFencing = true;
  Duration LoadTime = std::chrono::milliseconds(300);
  /// Requests answered before the engine counts as warm.
  std::uint32_t WarmUpAnswers = 8;
  /// Requests a cold engine bears at once; with more it fails them all.
  std::uint32_t ColdBatchLimit = 2;
  Duration TimePerToken = std::chrono::milliseconds(5);
  /// Extra time before the first token if the prompt's prefix is not cached.
  Duration PrefillTime = std::chrono::milliseconds(20);
  Duration AnnounceInterval = std::chrono::milliseconds(500);
};

/// The \p Index-th token that every engine stand-in answers to \p Prompt.
std::string standInToken(std::string_view Prompt, std::uint32_t Index);

class EngineStandIn {
public:
  /// All work happens on \p Executor, which must be served by one thread.
  EngineStandIn(const boost::asio::any_io_executor &Executor,
                EngineStandInOptions Options);
  ~EngineStandIn();
  void start();
  /// Announces that it is leaving; then it may be stopped once it is idle.
  boost::asio::awaitable<void> leave();

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace carobhinge

#endif // LIBSTANDIN_ENGINESTANDIN_H
