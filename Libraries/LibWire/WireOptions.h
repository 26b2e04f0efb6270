//===- LibWire/WireOptions.h - Limits and timeouts of host links ----------===//
///
/// \file
/// Limits and timeouts used by both ends of a link.
///
//===----------------------------------------------------------------------===//

#ifndef LIBWIRE_WIREOPTIONS_H
#define LIBWIRE_WIREOPTIONS_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>

namespace carobhinge {

struct WireOptions {
  /// A server rejects calls from a client with another cluster name.
  std::string Cluster;
  /// The local host.
  HostName Self;
  /// Size limit of one message.
  std::size_t MessageBytes = 8 * 1024 * 1024;
  /// Flow-control window: received bytes of one stream that its reader has not
  /// consumed.
  std::uint32_t StreamWindowBytes = 1024 * 1024;
  std::uint32_t ConnectionWindowBytes = 16 * 1024 * 1024;
  std::uint32_t StreamsPerConnection = 4096;
  /// Bytes waiting to be sent on one connection. At this limit new calls fail
  /// as not sent and one-way messages are dropped.
  std::size_t QueuedBytes = 32 * 1024 * 1024;
  Duration ConnectTimeout = std::chrono::seconds(1);
  Duration PingInterval = std::chrono::milliseconds(500);
  /// A connection that received nothing for this long is closed, since it may
  /// never recover while a new connection would work.
  Duration PingTimeout = std::chrono::seconds(2);
  Duration MinReconnectPause = std::chrono::milliseconds(50);
  Duration MaxReconnectPause = std::chrono::seconds(2);
};

} // namespace carobhinge

#endif // LIBWIRE_WIREOPTIONS_H
