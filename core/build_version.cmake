# Writes what names the sources of a build into OUTPUT, as a C++ string literal:
# their commit, if they are in a repository, and a digest of all of them.
# Usage: cmake -D SOURCE=FOLDER -D OUTPUT=FILE -P build_version.cmake
set(commit "no commit")
execute_process(COMMAND git -C ${SOURCE} log -1 --format=%h\ of\ %cI
  OUTPUT_VARIABLE head OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET RESULT_VARIABLE failed)
if(NOT failed)
  execute_process(COMMAND git -C ${SOURCE} status --porcelain -- *.cpp *.h
    OUTPUT_VARIABLE changes ERROR_QUIET RESULT_VARIABLE failed)
  set(commit ${head})
  if(failed OR changes)
    string(APPEND commit ", modified")
  endif()
endif()
set(digests "")
foreach(part agent catalog consensus control coordination core dispatch entry http ledger
             main membership platform protocol settings transport)
  file(GLOB_RECURSE files RELATIVE ${SOURCE} ${SOURCE}/${part}/*.cpp ${SOURCE}/${part}/*.cc
    ${SOURCE}/${part}/*.h)
  list(SORT files)
  foreach(file ${files})
    file(SHA256 ${SOURCE}/${file} digest)
    string(APPEND digests "${file} ${digest}\n")
  endforeach()
endforeach()
string(SHA256 digest "${digests}")
string(SUBSTRING ${digest} 0 12 digest)
file(CONFIGURE OUTPUT ${OUTPUT} CONTENT "\"${commit}, sources ${digest}\"\n")
