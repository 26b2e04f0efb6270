# Real processes on loopback: the harness, the demonstration and its test.
add_library(
  ProcessHarness STATIC
  ${CMAKE_SOURCE_DIR}/Tests/Processes/ChildProcess.cpp
  ${CMAKE_SOURCE_DIR}/Tests/Processes/Deployment.cpp
  ${CMAKE_SOURCE_DIR}/Tests/Processes/VerifyingCaller.cpp)
target_include_directories(ProcessHarness PUBLIC ${CMAKE_SOURCE_DIR}/Tests)
target_compile_definitions(
  ProcessHarness
  PUBLIC CAROBHINGE_SOURCE_FOLDER="${CMAKE_SOURCE_DIR}"
         CAROBHINGE_BINARY="$<TARGET_FILE:carobhinge>")
target_link_libraries(ProcessHarness PUBLIC LibHTTP LibStandIn LibCommands)
add_dependencies(ProcessHarness carobhinge)

add_executable(LeastProgram ${CMAKE_SOURCE_DIR}/Tests/Processes/LeastProgram.cpp
                            ${CMAKE_SOURCE_DIR}/Carobhinge/EarlySignals.cpp)
carobhinge_load_little(LeastProgram)

add_executable(Demonstration
               ${CMAKE_SOURCE_DIR}/Tests/Processes/Demonstration.cpp)
target_link_libraries(Demonstration PRIVATE ProcessHarness)

carobhinge_test(Carobhinge ProcessHarness LibServe LibControl Platform)
target_sources(TestCarobhinge
               PRIVATE ${CMAKE_SOURCE_DIR}/Carobhinge/ProcessStart.cpp)
target_include_directories(TestCarobhinge PRIVATE ${CMAKE_SOURCE_DIR})
add_dependencies(TestCarobhinge LeastProgram)
target_compile_definitions(
  TestCarobhinge
  PRIVATE CAROBHINGE_LEAST_PROGRAM="$<TARGET_FILE:LeastProgram>")
set_tests_properties(Carobhinge PROPERTIES PROCESSORS 4 TIMEOUT 1800)
