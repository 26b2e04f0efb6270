carobhinge_library(LibRouting LibCore)
carobhinge_test(LibRouting LibRouting LibFleet Scenario SHARDS 4
                CHECKS "max_success=200 max_size=300")
carobhinge_benchmark(Routing LibRouting)
target_sources(BenchRouting PRIVATE
               ${CMAKE_SOURCE_DIR}/Benchmarks/RoutingSimulation.cpp
               ${CMAKE_SOURCE_DIR}/Benchmarks/RoutingTrials.cpp
               ${CMAKE_SOURCE_DIR}/Benchmarks/SimulatedEngine.cpp)
carobhinge_benchmark(Choice LibRouting)
