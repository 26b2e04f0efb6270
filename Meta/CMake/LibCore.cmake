carobhinge_library(LibCore sodium xxhash z)
carobhinge_test(LibCore LibCore)
