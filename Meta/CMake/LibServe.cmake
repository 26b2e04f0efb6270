carobhinge_library(
  LibServe
  LibCore
  LibSettings
  LibIntent
  LibConsensus
  LibLedger
  LibFleet
  LibRouting
  LibWire
  LibHTTP
  LibTelemetry
  protobuf)
carobhinge_test(LibServe LibServe)
add_executable(
  carobhinge
  ${CMAKE_SOURCE_DIR}/Carobhinge/main.cpp
  ${CMAKE_SOURCE_DIR}/Carobhinge/EarlySignals.cpp
  ${CMAKE_SOURCE_DIR}/Carobhinge/ProcessStart.cpp
  ${CMAKE_SOURCE_DIR}/Carobhinge/ServeCommand.cpp
  ${CMAKE_SOURCE_DIR}/Carobhinge/ExplainCommand.cpp
  ${CMAKE_SOURCE_DIR}/Carobhinge/HostCommands.cpp
  ${CMAKE_SOURCE_DIR}/Carobhinge/StandInCommand.cpp
  ${CMAKE_SOURCE_DIR}/Carobhinge/OperatorCommands.cpp)
target_include_directories(carobhinge PRIVATE ${CMAKE_SOURCE_DIR})
target_link_libraries(carobhinge PRIVATE LibServe LibStandIn LibCommands Platform)
carobhinge_load_little(carobhinge)
