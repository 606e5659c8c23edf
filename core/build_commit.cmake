# Writes the commit of the source tree into OUTPUT, as a C++ string literal.
# Usage: cmake -D SOURCE=FOLDER -D OUTPUT=FILE -P build_commit.cmake
set(commit unknown)
execute_process(COMMAND git -C ${SOURCE} log -1 --format=%h\ of\ %cI
  OUTPUT_VARIABLE head OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET RESULT_VARIABLE failed)
if(NOT failed)
  execute_process(COMMAND git -C ${SOURCE} status --porcelain --untracked-files=no -- *.cpp *.h
    OUTPUT_VARIABLE changes ERROR_QUIET RESULT_VARIABLE failed)
  set(commit ${head})
  if(failed OR changes)
    string(APPEND commit ", modified")
  endif()
endif()
file(CONFIGURE OUTPUT ${OUTPUT} CONTENT "\"${commit}\"\n")
