# The scenario language: parser and runner, for tests only.
file(GLOB SCENARIO_SOURCES CONFIGURE_DEPENDS
     ${CMAKE_SOURCE_DIR}/Tests/Scenario/*.cpp)
add_library(Scenario STATIC ${SCENARIO_SOURCES})
target_include_directories(Scenario PUBLIC ${CMAKE_SOURCE_DIR}/Tests)
target_link_libraries(Scenario PUBLIC LibCore GTest::gtest)
carobhinge_test(ScenarioLanguage Scenario)
