# Included right after project(), when the project's own targets are not known
# yet.
cmake_language(DEFER CALL include
  ${CMAKE_SOURCE_DIR}/review/third/stand_ins.cmake)
