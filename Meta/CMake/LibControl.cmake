carobhinge_library(
  LibControl
  LibCatalog
  LibFormation
  LibConsensus
  LibSettings
  LibWire
  LibHTTP
  LibTelemetry
  LibCore
  protobuf)
carobhinge_test(LibControl LibControl)
