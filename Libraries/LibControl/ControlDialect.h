//===- LibControl/ControlDialect.h - How operators and engines speak ------===//
///
/// \file
/// What a control host needs to know of the calls of operators and endpoints
/// and of its orders to engines, in the product's own words. The platform's
/// names and formats stay behind this interface.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONTROL_CONTROLDIALECT_H
#define LIBCONTROL_CONTROLDIALECT_H

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
  /// An endpoint reports.
  Report,
  /// An endpoint says that it ends.
  Leave,
  PutCatalog,
  GetCatalog,
  /// A failure domain is to get nothing ...
  EmptyDomain,
  /// ... and is taken back.
  RefillDomain,
  Unknown,
};

struct ControlCall {
  ControlOperation Operation = ControlOperation::Unknown;
  /// The endpoint or the failure domain.
  std::string Subject;
};

class ControlDialect {
public:
  ControlDialect() = default;
  ControlDialect(const ControlDialect &) = delete;
  ControlDialect &operator=(const ControlDialect &) = delete;
  virtual ~ControlDialect() = default;

  [[nodiscard]] virtual ControlCall readCall(const HttpRequest &Call) const = 0;
  /// Nothing if the text can't be read; \p Out tells why.
  [[nodiscard]] virtual std::optional<Catalog>
  readCatalog(std::string_view Text, Findings &Out) const = 0;
  /// Nothing if it isn't a sound report.
  [[nodiscard]] virtual std::optional<EngineReport>
  readReport(const EndpointName &Id, std::string_view Text,
             Findings &Out) const = 0;
  [[nodiscard]] virtual HttpRequest
  toEngine(const EngineOrder &Order) const = 0;
  [[nodiscard]] virtual OrderResult orderResult(unsigned Status) const = 0;
  /// A question that only an engine which lives answers.
  [[nodiscard]] virtual HttpRequest askState() const = 0;
};

} // namespace carobhinge

#endif // LIBCONTROL_CONTROLDIALECT_H
