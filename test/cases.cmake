# Read by ctest: registers each case of the Catch2 programs in CASE_PROGRAMS as a test of its own, so that ctest runs them side by side.
# A program does not list the cases named in the file of CYCLAMENSPOOL_EXCLUDED_TESTS (catchmain.cpp).
foreach(program IN LISTS CASE_PROGRAMS)
    get_filename_component(program_name "${program}" NAME)
    # The exit status is the number of cases, at most 255.
    execute_process(COMMAND "${program}" --list-test-names-only OUTPUT_VARIABLE cases ERROR_VARIABLE errors RESULT_VARIABLE count)
    if(NOT count MATCHES "^[1-9][0-9]*$" OR NOT errors STREQUAL "")
        message(FATAL_ERROR "${program} does not list its cases: ${count} ${errors}")
    endif()
    while(cases MATCHES "^([^\n]+)\n(.*)$")
        set(case "${CMAKE_MATCH_1}")
        set(cases "${CMAKE_MATCH_2}")
        # Catch2 gives a comma and a bracket in a name a meaning.
        string(REGEX REPLACE "([],[])" "\\\\\\1" pattern "${case}")
        add_test("${program_name}: ${case}" "${program}" "${pattern}" --warn NoTests)
    endwhile()
    if(NOT cases STREQUAL "")
        message(FATAL_ERROR "${program}: cannot read the names of its cases from: ${cases}")
    endif()
endforeach()
