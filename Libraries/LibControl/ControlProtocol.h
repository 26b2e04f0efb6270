//===- LibControl/ControlProtocol.h - Formats of control calls ------------===//
///
/// \file
/// Interface that decodes the calls of operators and endpoints and encodes the
/// orders to engines. It hides the platform's names and formats from control
/// hosts.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONTROL_CONTROLPROTOCOL_H
#define LIBCONTROL_CONTROLPROTOCOL_H

#include <LibCatalog/Catalog.h>
#include <LibCore/Findings.h>
#include <LibFormation/EngineOrder.h>
#include <LibFormation/EngineReport.h>
#include <LibHTTP/HttpMessage.h>
#include <optional>
#include <string>
#include <string_view>

namespace carobhinge {

enum class ControlOperation {
  /// An endpoint sends a heartbeat.
  Report,
  /// An endpoint announces that it stops.
  Leave,
  PutCatalog,
  GetCatalog,
  /// Drains a failure domain: it gets no new requests.
  DrainDomain,
  /// Returns a drained failure domain to service.
  RestoreDomain,
  Unknown,
};

struct ControlCall {
  ControlOperation Operation = ControlOperation::Unknown;
  /// Name of the endpoint or the failure domain; empty for calls on the
  /// catalog.
  std::string Subject;
};

class ControlProtocol {
public:
  ControlProtocol() = default;
  ControlProtocol(const ControlProtocol &) = delete;
  ControlProtocol &operator=(const ControlProtocol &) = delete;
  virtual ~ControlProtocol() = default;

  [[nodiscard]] virtual ControlCall readCall(const HttpRequest &Call) const = 0;
  /// Nothing if the text is malformed; \p Out then lists the errors.
  [[nodiscard]] virtual std::optional<Catalog>
  readCatalog(std::string_view Text, Findings &Out) const = 0;
  /// Nothing if the report is malformed; \p Out then lists the errors.
  [[nodiscard]] virtual std::optional<EngineReport>
  readReport(const EndpointName &Id, std::string_view Text,
             Findings &Out) const = 0;
  [[nodiscard]] virtual HttpRequest
  makeOrderRequest(const EngineOrder &Order) const = 0;
  [[nodiscard]] virtual OrderResult readOrderResult(unsigned Status) const = 0;
  /// The pause that an answer to an order or a probe asks for; zero if none.
  [[nodiscard]] virtual Duration
  readPause(const HttpResponseHead &Answer) const = 0;
  /// The life that the body of an engine's answer states; nothing if none.
  [[nodiscard]] virtual std::optional<Incarnation>
  readLife(std::string_view Body) const = 0;
  /// A request that every running engine answers; used to probe engines.
  [[nodiscard]] virtual HttpRequest makeProbeRequest() const = 0;
};

} // namespace carobhinge

#endif // LIBCONTROL_CONTROLPROTOCOL_H
