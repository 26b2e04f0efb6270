carobhinge_library(LibCore xxhash z)
carobhinge_test(LibCore LibCore)
