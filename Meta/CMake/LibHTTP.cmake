carobhinge_library(LibHTTP LibCore)
carobhinge_test(LibHTTP LibHTTP)
