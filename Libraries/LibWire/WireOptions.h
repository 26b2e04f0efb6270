//===- LibWire/WireOptions.h - Bounds of the links between processes ------===//
///
/// \file
/// Limits and times shared by both ends of a link.
///
//===----------------------------------------------------------------------===//

#ifndef LIBWIRE_WIREOPTIONS_H
#define LIBWIRE_WIREOPTIONS_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>

namespace carobhinge {

struct WireOptions {
  /// Both ends must name the same cluster.
  std::string Cluster;
  /// The host at this end.
  HostName Self;
  std::size_t MessageBytes = 8 * 1024 * 1024;
  /// Unread bytes one stream may hold at the receiver.
  std::uint32_t StreamWindowBytes = 1024 * 1024;
  std::uint32_t ConnectionWindowBytes = 16 * 1024 * 1024;
  std::uint32_t StreamsPerConnection = 4096;
  /// One-way messages waiting while the connection is busy; more are dropped.
  std::size_t QueuedBytes = 32 * 1024 * 1024;
  Duration ConnectTimeout = std::chrono::seconds(1);
  Duration PingInterval = std::chrono::milliseconds(500);
  /// A connection from which nothing was heard for this long is closed: it may
  /// be silent for good while a new one would work.
  Duration SilenceTimeout = std::chrono::seconds(2);
  Duration LeastReconnectPause = std::chrono::milliseconds(50);
  Duration MostReconnectPause = std::chrono::seconds(2);
};

} // namespace carobhinge

#endif // LIBWIRE_WIREOPTIONS_H
