carobhinge_library(LibWire LibCore LibHTTP LibTelemetry nghttp2 protobuf)
carobhinge_test(LibWire LibWire)
