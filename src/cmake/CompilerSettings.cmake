# Language level, warnings, sanitizers and the compiler cache, for every target.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)

if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

add_compile_options(-Wall -Wextra -Wno-missing-field-initializers)

set(HEMLOCKHILL_SANITIZE "" CACHE STRING "Sanitizers to build with, as given to -fsanitize=")
if(HEMLOCKHILL_SANITIZE)
    add_compile_options(-fsanitize=${HEMLOCKHILL_SANITIZE} -fno-omit-frame-pointer)
    add_link_options(-fsanitize=${HEMLOCKHILL_SANITIZE})
endif()

find_program(HEMLOCKHILL_CCACHE ccache)
if(HEMLOCKHILL_CCACHE AND NOT CMAKE_CXX_COMPILER_LAUNCHER)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${HEMLOCKHILL_CCACHE})
endif()
