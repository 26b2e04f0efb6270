carobhinge_library(
  LibEntry
  LibControl
  LibCatalog
  LibFormation
  LibRouting
  LibSettings
  LibWire
  LibHTTP
  LibTelemetry
  LibCore
  protobuf)
carobhinge_test(LibEntry LibEntry)
