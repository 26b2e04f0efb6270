# The platform's names and formats; the only code that knows them.
file(GLOB PLATFORM_SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/*.cpp)
add_library(Platform STATIC ${PLATFORM_SOURCES})
target_include_directories(Platform PUBLIC ${CMAKE_SOURCE_DIR})
target_link_libraries(Platform PUBLIC LibEntry LibControl LibCatalog
                                      LibFormation LibHTTP LibCore)
carobhinge_test(Platform Platform)
