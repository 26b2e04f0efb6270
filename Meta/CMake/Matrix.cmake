# The fault matrix. The part that the test suite runs is fixed by the seed.
file(GLOB MATRIX_SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/Tests/Matrix/*.cpp)
add_executable(Matrix ${MATRIX_SOURCES})
target_compile_definitions(
  Matrix PRIVATE CAROBHINGE_SOURCE_FOLDER="${CMAKE_SOURCE_DIR}")
target_link_libraries(Matrix PRIVATE State FleetCluster)
add_test(NAME Matrix COMMAND Matrix --share 10)
