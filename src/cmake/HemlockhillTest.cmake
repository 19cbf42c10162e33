# hemlockhill_test(SOURCE LABEL): builds one *_test.cpp as a Boost.Test program and registers it with a CTest label.
function(hemlockhill_test source label)
    get_filename_component(name ${source} NAME_WE)
    add_executable(${name} ${source})
    target_link_libraries(${name} PRIVATE hemlockhill Boost::unit_test_framework)
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK BOOST_TEST_MODULE=${name})
    add_test(NAME ${name} COMMAND ${name} --log_level=error)
    set_tests_properties(${name} PROPERTIES LABELS ${label} TIMEOUT 120)
endfunction()
