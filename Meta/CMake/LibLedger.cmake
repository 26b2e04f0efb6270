carobhinge_library(LibLedger LibCore LibConsensus protobuf)
carobhinge_test(LibLedger LibLedger)
set_tests_properties(LibLedger PROPERTIES ENVIRONMENT "RC_PARAMS=seed=4")
carobhinge_benchmark(Ledger LibLedger)
