# Entry and control processes on loopback before stand-in endpoints that speak
# the platform's protocol: the world, its tests and the soak.
file(GLOB PLATFORM_WORLD_SOURCES CONFIGURE_DEPENDS
     ${CMAKE_SOURCE_DIR}/Tests/PlatformWorld/*.cpp)
add_library(PlatformWorld STATIC ${PLATFORM_WORLD_SOURCES})
target_include_directories(PlatformWorld PUBLIC ${CMAKE_SOURCE_DIR}/Tests)
target_link_libraries(PlatformWorld PUBLIC ProcessHarness Platform LibStandIn)
carobhinge_test(PlatformProcesses PlatformWorld LibTelemetry)
set_tests_properties(PlatformProcesses PROPERTIES PROCESSORS 4 TIMEOUT 1800)
carobhinge_test(PlatformLosses PlatformWorld LibTelemetry)
set_tests_properties(PlatformLosses PROPERTIES PROCESSORS 4 TIMEOUT 1800)
carobhinge_test(PlatformMemory PlatformWorld LibTelemetry)
set_tests_properties(PlatformMemory PROPERTIES PROCESSORS 4 TIMEOUT 1800)

file(GLOB SOAK_SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/Soak/*.cpp)
add_executable(Soak ${SOAK_SOURCES})
target_include_directories(Soak PRIVATE ${CMAKE_SOURCE_DIR})
target_link_libraries(Soak PRIVATE PlatformWorld LibTelemetry)
# A short run with fixed seeds.
add_test(NAME Soak COMMAND Soak --first-seed 1 --seeds 2)
set_tests_properties(Soak PROPERTIES PROCESSORS 4 TIMEOUT 1800)
