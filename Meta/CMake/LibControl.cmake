carobhinge_library(
  LibControl
  LibCatalog
  LibFormation
  LibRouting
  LibConsensus
  LibSettings
  LibWire
  LibHTTP
  LibTelemetry
  LibCore
  protobuf)
carobhinge_test(LibControl LibControl)
