//===- LibWire/WireOptions.h - Limits and timeouts of host links ----------===//
///
/// \file
/// Limits and timeouts used by both ends of a link.
///
//===----------------------------------------------------------------------===//

#ifndef LIBWIRE_WIREOPTIONS_H
#define LIBWIRE_WIREOPTIONS_H

#include <LibCore/Findings.h>
#include <LibCore/HeldBytes.h>
#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <functional>
#include <string_view>

namespace carobhinge {

/// Above the 2,300 hosts that a system shall have.
inline constexpr std::size_t MaxWireConnections = 4096;

/// Of the memory that a process may use, for each connection that it accepts.
/// The default of 256 MB has so 2,560 connections: the 2,300 hosts, whose entry
/// hosts all subscribe at the leader, and a tenth more.
inline constexpr std::size_t MemoryPerWireConnection = 100'000;
/// What a connection without work may keep of it. The whole then leaves a half
/// of the memory for all else, a half of that for what is held.
inline constexpr std::size_t IdleWireConnectionBytes =
    MemoryPerWireConnection / 2;

/// \returns the connections for a process that may use \p MemoryBytes bytes of
/// memory: one for each MemoryPerWireConnection, but at least 256 and at most
/// MaxWireConnections.
std::size_t wireConnectionLimit(std::size_t MemoryBytes);

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
  /// Connections of a server; further ones are closed at once. See
  /// wireConnectionLimit().
  std::size_t Connections = MaxWireConnections;
  /// Called by a server, on its acceptor's strand: \returns whether the host at
  /// the IP address \p Ip has ConnectionPlaces::OwnPlaces besides Connections.
  /// Null: none has.
  std::function<bool(std::string_view Ip)> HasOwnPlaces = {};
  /// Size limit of the header fields of one stream, names included.
  std::size_t HeaderBytes = 4 * 1024;
  /// What the process may hold in all; null: no limit. Messages count while
  /// they are being received; one that has no place resets its stream. On a
  /// server, replies count until they are sent.
  const SharedByteBudget *Budget = nullptr;
  /// Called by a server, on any thread, with a limit that the host at the IP
  /// address \p Peer has reached: "peer-connections" or "peer-queue-bytes".
  std::function<void(std::string_view Limit, std::string_view Peer)>
      OnLimitReached = {};
  /// Called by a server, on any thread, with what is wrong with the name that
  /// the host at the IP address \p Peer gave itself.
  std::function<void(std::string_view Peer, const Findings &Found)>
      OnNameRefused = {};
  /// Bytes waiting to be sent on one connection. At this limit new calls fail
  /// as not sent and one-way messages are dropped; a server closes the
  /// connection, also if the budget has no place for them.
  std::size_t QueuedBytes = 32 * 1024 * 1024;
  /// A call whose request has not arrived this long after its start is reset.
  Duration RequestTimeout = std::chrono::seconds(10);
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
