carobhinge_library(LibFleet LibCore protobuf)

# The decision classes of one failure domain with small fakes around them.
file(GLOB FLEET_CLUSTER_SOURCES CONFIGURE_DEPENDS
     ${CMAKE_SOURCE_DIR}/Tests/FleetCluster/*.cpp)
add_library(FleetCluster STATIC ${FLEET_CLUSTER_SOURCES})
target_include_directories(FleetCluster PUBLIC ${CMAKE_SOURCE_DIR}/Tests)
target_link_libraries(FleetCluster PUBLIC LibFleet Scenario)

carobhinge_test(LibFleet FleetCluster LibFleet CHECKS "max_success=60")
carobhinge_test(FleetScenarios FleetCluster)
carobhinge_benchmark(Groups FleetCluster)
carobhinge_benchmark(Fleet LibFleet)
