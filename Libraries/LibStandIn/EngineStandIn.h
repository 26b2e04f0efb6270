//===- LibStandIn/EngineStandIn.h - A small model engine for tests --------===//
///
/// \file
/// Simulates a model engine towards the platform: announces itself, handles
/// orders, loads weights, starts cold, refuses requests above its batch limit,
/// and streams, resumes and cancels answers. The generated tokens depend only
/// on the prompt, so that a caller can verify that an answer is complete and
/// belongs to its request.
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
  /// Answers after which the engine is warm.
  std::uint32_t WarmUpAnswers = 8;
  /// Concurrent requests of a cold engine. It refuses further ones with 503.
  std::uint32_t ColdBatchLimit = 2;
  Duration TimePerToken = std::chrono::milliseconds(5);
  /// Additional time before the first token if the prefix of the prompt is not
  /// cached.
  Duration PrefillTime = std::chrono::milliseconds(20);
  /// The process ends when it begins to write an answer to a prompt with this
  /// text as a message other than the last one; empty: never.
  std::string CrashText = {};
  /// A stream with a message that begins so breaks off after its first tokens;
  /// where it is to be resumed, it is answered with an error.
  std::string BreakOffText = {};
  /// Prompts with a message that begins so get an answer whose status does not
  /// exist.
  std::string BadStatusText = {};
  /// The limit that the engine announces; 0: none. It does not enforce it.
  double RequestLimit = 0;
  Duration AnnounceInterval = std::chrono::milliseconds(500);
};

/// Returns the token at \p Index, from 0, of every engine stand-in's answer to
/// \p Prompt.
std::string standInToken(std::string_view Prompt, std::uint32_t Index);

class EngineStandIn {
public:
  /// All work happens on \p Executor, which must be served by one thread.
  EngineStandIn(const boost::asio::any_io_executor &Executor,
                EngineStandInOptions Options);
  ~EngineStandIn();
  /// Starts the server and the announcements.
  void start();
  /// Announces that the endpoint is leaving. The stand-in may be stopped once
  /// it is idle.
  boost::asio::awaitable<void> leave();

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace carobhinge

#endif // LIBSTANDIN_ENGINESTANDIN_H
