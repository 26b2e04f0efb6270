//===- LibServe/SpilloverDomains.h - Capacity of other domains ------------===//
///
/// \file
/// Entry hosts report their spare capacity for each service to the entry hosts
/// of other failure domains. This class keeps the newest report of each host
/// and adds them up by domain.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_SPILLOVERDOMAINS_H
#define LIBSERVE_SPILLOVERDOMAINS_H

#include <LibRouting/DomainSummary.h>
#include <LibServe/Peers.h>
#include <LibServe/Serve.pb.h>
#include <mutex>

namespace carobhinge {

/// Thread-safe.
class SpilloverDomains {
public:
  explicit SpilloverDomains(Peers &Links) : Links(Links) {}

  void received(const HostName &From, const message::ServiceSummaries &Message);

  /// One summary for each failure domain with a recent report.
  [[nodiscard]] std::vector<DomainSummary>
  summaries(const ServiceName &Service) const;

  /// The connected entry host of \p Domain with the most spare slots for the
  /// service; empty if there is none.
  [[nodiscard]] HostName choose(const FailureDomainName &Domain,
                                const ServiceName &Service) const;

private:
  struct ReceivedSummaries {
    message::ServiceSummaries Message;
    TimePoint ReceivedAt;
  };

  Peers &Links;
  mutable std::mutex Lock;
  std::map<HostName, ReceivedSummaries> Hosts;
};

} // namespace carobhinge

#endif // LIBSERVE_SPILLOVERDOMAINS_H
