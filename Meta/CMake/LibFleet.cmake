carobhinge_library(LibFleet LibCore protobuf)
carobhinge_test(LibFleet LibFleet)
