carobhinge_library(LibHTTP LibCore LibTelemetry)
carobhinge_test(LibHTTP LibHTTP LibStandIn)
