# Adds the stand-ins of the third review to the project's build; see
# review/build-3.sh.
set(third_tests ${CMAKE_SOURCE_DIR}/tests)
foreach(name shared_id)
  add_executable(review_${name}
    ${CMAKE_SOURCE_DIR}/review/third/${name}.cpp
    ${CMAKE_SOURCE_DIR}/review/third/small_deployment.cpp
    ${third_tests}/system/platform_cluster.cpp
    ${third_tests}/system/platform_worker.cpp
    ${third_tests}/system/run_recorder.cpp
    ${third_tests}/system/system_cluster.cpp
    ${third_tests}/support/silent_proxy.cpp)
  target_link_libraries(review_${name} PRIVATE yw_http PkgConfig::FMT
    Threads::Threads)
  # The daemon of the deploy file's build, started in the root of the
  # repository.
  target_compile_definitions(review_${name} PRIVATE
    YARDWHEEL_BUILD_FOLDER="target")
endforeach()
