carobhinge_library(LibLedger LibCore protobuf)
carobhinge_test(LibLedger LibLedger)
set_tests_properties(LibLedger PROPERTIES ENVIRONMENT "RC_PARAMS=seed=4")
