# The state world: replicas, ledger, intent register and call attempts under
# the scenario language and the fault matrix.
file(GLOB STATE_SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/Tests/State/*.cpp)
add_library(State STATIC ${STATE_SOURCES})
target_link_libraries(State PUBLIC Scenario LibLedger LibConsensus LibIntent)
carobhinge_test(StateScenarios State)
set_tests_properties(StateScenarios PROPERTIES ENVIRONMENT "RC_PARAMS=seed=4")
