carobhinge_library(LibStore LibCore)
carobhinge_test(LibStore LibStore)
