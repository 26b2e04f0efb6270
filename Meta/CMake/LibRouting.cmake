carobhinge_library(LibRouting LibCore)
carobhinge_test(LibRouting LibRouting)
set_tests_properties(LibRouting PROPERTIES ENVIRONMENT
                     "RC_PARAMS=seed=20261203 max_success=200 max_size=300")
