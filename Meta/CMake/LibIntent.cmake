carobhinge_library(LibIntent LibCore LibSettings protobuf)
carobhinge_test(LibIntent LibIntent)
# RapidCheck takes its seed from here, so that every run gives one verdict.
set_tests_properties(LibIntent PROPERTIES ENVIRONMENT RC_PARAMS=seed=20261203)
carobhinge_benchmark(Dissemination LibIntent)
target_include_directories(BenchDissemination PRIVATE ${CMAKE_SOURCE_DIR}/Tests)
