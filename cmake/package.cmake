# Declares one package of the workspace: a static library `fw_<name>` of every
# source below filbertwick/<name>/, which may include headers of <name> and of
# the packages in DEPENDS only. An include of any other package stops the
# configure step, so dependencies point one way.
# With FW_PLATFORM_ONLY, sources that do not match PLATFORM_PART, if given, are
# left out, and so are packages that were not declared.
#   fw_package(<name> DEPENDS <package>... LINK <library>...
#              PLATFORM_PART <regex>)
function(fw_package name)
  cmake_parse_arguments(ARG "" "PLATFORM_PART" "DEPENDS;LINK" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS
       ${CMAKE_SOURCE_DIR}/filbertwick/${name}/*.cc)
  file(GLOB_RECURSE headers CONFIGURE_DEPENDS
       ${CMAKE_SOURCE_DIR}/filbertwick/${name}/*.h)
  list(FILTER sources EXCLUDE REGEX "/main\\.cc$")
  fw_check_includes(${name} "${ARG_DEPENDS}" ${sources} ${headers})
  if(FW_PLATFORM_ONLY)
    if(ARG_PLATFORM_PART)
      list(FILTER sources INCLUDE REGEX ${ARG_PLATFORM_PART})
    endif()
    list(REMOVE_ITEM ARG_DEPENDS json bundle)
  endif()
  if(NOT sources)
    add_library(fw_${name} INTERFACE)
    add_library(filbertwick::${name} ALIAS fw_${name})
    target_include_directories(fw_${name} INTERFACE ${CMAKE_SOURCE_DIR})
    list(TRANSFORM ARG_DEPENDS PREPEND fw_)
    target_link_libraries(fw_${name} INTERFACE ${ARG_DEPENDS} ${ARG_LINK})
    return()
  endif()
  add_library(fw_${name} STATIC ${sources} ${headers})
  set_target_properties(fw_${name} PROPERTIES LINKER_LANGUAGE CXX
                                              EXPORT_NAME ${name})
  add_library(filbertwick::${name} ALIAS fw_${name})
  target_include_directories(
    fw_${name} PUBLIC $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}>
                      $<INSTALL_INTERFACE:include>)
  list(TRANSFORM ARG_DEPENDS PREPEND fw_)
  target_link_libraries(fw_${name} PUBLIC ${ARG_DEPENDS} ${ARG_LINK})
endfunction()

# Stops the configure step unless each #include "filbertwick/x/..." names the
# package itself or one of its declared dependencies.
function(fw_check_includes name depends)
  set(allowed ${name} ${depends})
  foreach(source ${ARGN})
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${source})
    file(STRINGS ${source} lines REGEX "^#include \"filbertwick/")
    foreach(line ${lines})
      string(REGEX REPLACE "^#include \"filbertwick/([a-z_]+)/.*" "\\1" used
                           "${line}")
      if(NOT used IN_LIST allowed)
        message(FATAL_ERROR "${source}: package ${name} includes ${used}, "
                            "which it does not declare")
      endif()
    endforeach()
  endforeach()
endfunction()

# Declares a test program `<name>` built from unit_tests/<name>.cc with
# Criterion, and registers it with ctest. With SERIAL, its tests run one at a
# time, and no other test beside them.
#   fw_test(<name> [SERIAL] <package>...)
function(fw_test name)
  # A merge may leave the same fw_test() line twice; the second is ignored.
  if(TARGET ${name})
    return()
  endif()
  cmake_parse_arguments(ARG "SERIAL" "" "" ${ARGN})
  set(jobs 2)
  if(ARG_SERIAL)
    set(jobs 1)
  endif()
  add_executable(${name} ${CMAKE_SOURCE_DIR}/unit_tests/${name}.cc)
  set(packages ${ARG_UNPARSED_ARGUMENTS})
  list(TRANSFORM packages PREPEND fw_)
  target_link_libraries(${name} PRIVATE ${packages} PkgConfig::CRITERION)
  # A line `test: <program> <suite>/<test>` of KNOWN-RED.txt takes one test out
  # of its program's run and into one with the label known_red.
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS
                                         ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
  file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt red REGEX " test: ${name} ")
  list(TRANSFORM red REPLACE "^ *test: [^ ]+ ([^ ]+).*$" "\\1")
  set(passing)
  if(red)
    list(JOIN red "|" red)
    set(passing --filter "!(${red})")
    add_test(NAME ${name}_known_red
             COMMAND ${name} --jobs ${jobs} --filter "@(${red})"
             WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
    set_tests_properties(${name}_known_red PROPERTIES LABELS known_red
                                                      RUN_SERIAL ${ARG_SERIAL})
  endif()
  add_test(NAME ${name} COMMAND ${name} --jobs ${jobs} ${passing}
           WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300 RUN_SERIAL
                                          ${ARG_SERIAL})
endfunction()

# Declares a benchmark program `<name>` built from bench/<name>.cc.
#   fw_bench(<name> <package>...)
function(fw_bench name)
  add_executable(${name} ${CMAKE_SOURCE_DIR}/bench/${name}.cc)
  list(TRANSFORM ARGN PREPEND fw_)
  target_link_libraries(${name} PRIVATE ${ARGN})
endfunction()
