carobhinge_library(LibWire LibCore LibHTTP nghttp2 protobuf)
carobhinge_test(LibWire LibWire)
