# burlwind-explore with one fault in the code that it explores, for the test that it is found. Nothing of it is in
# the shipped sources: each program is built from a copy of one source in which one snippet is replaced.
#
# planted_bug(NAME bug SOURCE file FIND snippet REPLACE snippet): the program explore_with_<bug>. Configuring fails
# where the snippet does not stand in the source exactly once: who changes the source brings the bug up to date.
function(planted_bug)
  cmake_parse_arguments(PARSE_ARGV 0 BUG "" "NAME;SOURCE;FIND;REPLACE" "")
  set(source "${PROJECT_SOURCE_DIR}/src/${BUG_SOURCE}")
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS "${source}")
  file(READ "${source}" text)
  string(LENGTH "${text}" length)
  string(LENGTH "${BUG_FIND}" snippet_length)
  string(REPLACE "${BUG_FIND}" "" rest "${text}")
  string(LENGTH "${rest}" rest_length)
  math(EXPR removed "${length} - ${rest_length}")
  if(NOT removed EQUAL snippet_length)
    message(FATAL_ERROR "planted bug ${BUG_NAME}: its snippet stands in ${BUG_SOURCE} not exactly once:\n${BUG_FIND}")
  endif()
  string(REPLACE "${BUG_FIND}" "${BUG_REPLACE}" text "${text}")
  get_filename_component(file "${BUG_SOURCE}" NAME)
  set(copy "${CMAKE_CURRENT_BINARY_DIR}/planted_bugs/${BUG_NAME}/${file}")
  file(GENERATE OUTPUT "${copy}" CONTENT "${text}")
  # The compiler's warnings are the shipped source's matter.
  set_source_files_properties("${copy}" PROPERTIES COMPILE_OPTIONS -w)
  # What it replaces is not taken from the library: the program has its names already.
  add_executable(explore_with_${BUG_NAME} $<TARGET_OBJECTS:burlwind_explore_command> "${copy}")
  target_link_libraries(explore_with_${BUG_NAME} PRIVATE burlwind_model_checking burlwind_cores ${POPT_LIBRARY})
  set_property(GLOBAL APPEND PROPERTY PLANTED_BUGS ${BUG_NAME})
endfunction()
