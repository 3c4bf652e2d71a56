# Writes a copy of src/`source` with `find` replaced to `name`.cpp in the build folder, and sets the variable `out` to its path.
function(lockgw_mutated_source name source find replace out)
    file(READ ${PROJECT_SOURCE_DIR}/src/${source} text)
    string(FIND "${text}" "${find}" at)
    if(at EQUAL -1)
        message(FATAL_ERROR "mutant ${name}: ${source} does not contain: ${find}")
    endif()
    string(REPLACE "${find}" "${replace}" text "${text}")
    set(mutated ${CMAKE_CURRENT_BINARY_DIR}/${name}.cpp)
    file(CONFIGURE OUTPUT ${mutated} CONTENT "${text}" @ONLY)
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/${source})
    set(${out} ${mutated} PARENT_SCOPE)
endfunction()

# A mutant of a module: one condition is removed, and at least one of the tests that `filter` names must fail on it.
#
#   lockgw_mutant(NAME source test object filter "text to find" "text in its place" [other sources of the module])
function(lockgw_mutant name source tests filter find replace)
    if(COMETSPOKE_SANITIZE)  # mutants check the tests, not the program
        return()
    endif()
    lockgw_mutated_source(${name} ${source} "${find}" "${replace}" mutated)
    list(TRANSFORM ARGN PREPEND ${PROJECT_SOURCE_DIR}/src/ OUTPUT_VARIABLE others)
    add_executable(${name} ${mutated} ${others} $<TARGET_OBJECTS:${tests}>)
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR}/include)
    target_compile_options(${name} PRIVATE -Wno-unused -O0)  # each runs only a few tests
    target_link_libraries(${name} PRIVATE GTest::gtest_main rapidcheck)
    add_test(NAME ${name} COMMAND ${name} --gtest_filter=${filter} --gtest_fail_fast)  # the first failed check finds it
    set_tests_properties(${name} PROPERTIES WILL_FAIL TRUE TIMEOUT 120
        ENVIRONMENT "RC_PARAMS=max_success=300 noshrink=1")
endfunction()

# The same for a source of the program: the mutant replaces the source of the library and is linked with all tests of the
# program. For fixes that are a single condition in a larger module; `filter` names tests that run the event loop in their
# own process.
#
#   lockgw_program_mutant(NAME source filter "text to find" "text in its place")
function(lockgw_program_mutant name source filter find replace)
    if(COMETSPOKE_SANITIZE)
        return()
    endif()
    lockgw_mutated_source(program_${name} ${source} "${find}" "${replace}" mutated)
    add_executable(program_${name} ${mutated} $<TARGET_OBJECTS:lockgw_tests>)
    target_compile_options(program_${name} PRIVATE -Wno-unused -Wno-unused-parameter -O0)
    target_link_libraries(program_${name} PRIVATE lockgw_program lockgw_rig GTest::gtest_main)
    add_test(NAME program_${name} COMMAND program_${name} --gtest_filter=${filter} --gtest_fail_fast)
    set_tests_properties(program_${name} PROPERTIES WILL_FAIL TRUE TIMEOUT 120)
endfunction()
