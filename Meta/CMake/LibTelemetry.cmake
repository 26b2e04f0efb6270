carobhinge_library(LibTelemetry LibCore)
# Nothing of a logging library that is built for one architecture is linked.
target_compile_definitions(LibTelemetry PRIVATE SPDLOG_HEADER_ONLY
                                                FMT_HEADER_ONLY)
carobhinge_test(LibTelemetry LibTelemetry)
