carobhinge_library(LibIntent LibCore protobuf)
carobhinge_test(LibIntent LibIntent)
