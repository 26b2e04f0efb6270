//===- LibRouting/LimitDivision.h - Shares of a limit on requests ---------===//
///
/// \file
/// An endpoint in need names the requests in a second that it takes from all
/// entry hosts together. Each host gets a share in proportion to its load.
/// Among many hosts such shares become so small that their sum is uneven; then
/// only some hosts, selected by the endpoint's name, send to the endpoint.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_LIMITDIVISION_H
#define LIBROUTING_LIMITDIVISION_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <optional>

namespace carobhinge {

struct LimitDivisionOptions {
  /// The fraction of a limit that is divided. The shares of hosts that know of
  /// each other with a delay add up to more than one at times.
  double SafetyFactor = 0.9;
  /// Time between two requests of a host at which its share is too small.
  Duration MaxInterval = std::chrono::seconds(2);
};

class LimitDivision {
public:
  explicit LimitDivision(LimitDivisionOptions Options = {})
      : Options(Options) {}

  /// This host has index \p Index, from 0, among \p Count entry hosts.
  void setEntryHosts(int Index, int Count);
  /// This host's share, from 0 to 1, of the load; even until it is known.
  void setLoadShare(double Share) { this->LoadShare = Share; }

  [[nodiscard]] int entryHostCount() const { return this->HostCount; }
  /// \returns whether this host is one of \p Senders hosts, selected by the
  /// hash of the endpoint's name.
  [[nodiscard]] bool isSender(const EndpointName &Endpoint, int Senders) const;
  /// \returns the requests in a second that this host may send to an endpoint
  /// that takes \p Limit, more than 0, from all hosts; 0: none.
  [[nodiscard]] double rate(const EndpointName &Endpoint, double Limit) const;
  /// \returns the part, from 0 to 1, of the first interval between two requests
  /// for which this host waits, given a number \p Uniform from 0 to 1. Spreads
  /// the first requests of the hosts evenly.
  [[nodiscard]] double phase(const EndpointName &Endpoint,
                             double Uniform) const;

private:
  LimitDivisionOptions Options;
  int HostIndex = 0;
  int HostCount = 1;
  std::optional<double> LoadShare;
};

} // namespace carobhinge

#endif // LIBROUTING_LIMITDIVISION_H
