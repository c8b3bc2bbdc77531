# The rules every package follows: flags, layout, one target, one test program.

add_compile_options(-Wall -Wextra -Wno-unused-parameter -Wno-missing-field-initializers -include utility)
add_compile_definitions(
  BOOST_BIND_GLOBAL_PLACEHOLDERS BOOST_ALLOW_DEPRECATED_HEADERS
  BOOST_ASIO_SEPARATE_COMPILATION)
if(cardamomchute_sanitize)
  add_compile_options(-fsanitize=address,undefined -fno-omit-frame-pointer
                      -fno-sanitize-recover=undefined)
  add_link_options(-fsanitize=address,undefined)
endif()

# add_package(NAME LIBS lib...): a library of NAME/src and its folders, with public headers
# under NAME/include, and a test program NAME-test of NAME/test/*-test.cc.
function(add_package name)
  cmake_parse_arguments(arg "" "" "LIBS;TEST_LIBS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cc src/*/*.cc)
  if(sources)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC include PRIVATE src)
    target_link_libraries(${name} PUBLIC ${arg_LIBS})
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE include)
    target_link_libraries(${name} INTERFACE ${arg_LIBS})
  endif()
  file(GLOB tests CONFIGURE_DEPENDS test/*-test.cc test/*/*-test.cc)
  if(tests)
    add_executable(${name}-test ${tests} ${CMAKE_SOURCE_DIR}/cmake/test-main.cc)
    target_include_directories(${name}-test PRIVATE src test)
    target_compile_definitions(${name}-test PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(${name}-test PRIVATE
      ${name} ${arg_TEST_LIBS} boost_unit_test_framework)
    add_test(NAME ${name} COMMAND ${name}-test)
  endif()
endfunction()
