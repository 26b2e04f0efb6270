carobhinge_library(LibCore xxhash)
carobhinge_test(LibCore LibCore)
