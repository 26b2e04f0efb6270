# The fuzz targets: Fuzz/FuzzX.cpp with clang's libFuzzer. Only built where
# asked for, as every library must be instrumented too.
option(CAROBHINGE_FUZZ "Build the fuzz targets" OFF)
if(CAROBHINGE_FUZZ AND CMAKE_CXX_COMPILER_ID STREQUAL "Clang")
  foreach(NAME Settings Intent Messages Reports)
    add_executable(Fuzz${NAME} EXCLUDE_FROM_ALL
                   ${CMAKE_SOURCE_DIR}/Fuzz/Fuzz${NAME}.cpp)
    target_link_libraries(Fuzz${NAME} PRIVATE LibIntent Platform)
    target_link_options(Fuzz${NAME} PRIVATE -fsanitize=fuzzer)
  endforeach()
  foreach(NAME HttpAnswers HttpRequests)
    add_executable(Fuzz${NAME} EXCLUDE_FROM_ALL
                   ${CMAKE_SOURCE_DIR}/Fuzz/Fuzz${NAME}.cpp)
    target_include_directories(Fuzz${NAME} PRIVATE ${CMAKE_SOURCE_DIR}/Tests)
    target_link_libraries(Fuzz${NAME} PRIVATE LibHTTP)
    target_link_options(Fuzz${NAME} PRIVATE -fsanitize=fuzzer)
  endforeach()
endif()
