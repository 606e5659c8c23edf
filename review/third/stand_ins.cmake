# Adds the stand-ins of the third review to the project's build; see
# review/build-3.sh.
set(third_tests ${CMAKE_SOURCE_DIR}/tests)
add_executable(review_cancelled_job
  ${CMAKE_SOURCE_DIR}/review/third/cancelled_job.cpp
  ${CMAKE_SOURCE_DIR}/review/third/small_deployment.cpp
  ${third_tests}/system/platform_cluster.cpp
  ${third_tests}/system/platform_worker.cpp
  ${third_tests}/system/run_recorder.cpp
  ${third_tests}/system/system_cluster.cpp
  ${third_tests}/support/silent_proxy.cpp)
target_link_libraries(review_cancelled_job PRIVATE yw_http PkgConfig::FMT
  Threads::Threads)
# The daemon of the deploy file's build, started in the root of the repository.
target_compile_definitions(review_cancelled_job PRIVATE
  YARDWHEEL_BUILD_FOLDER="target")
