# Computes the id of the daemon's sources: the first digits of a hash over the
# paths and contents of all files that it is built from. Equal sources have equal
# ids on all machines, with or without a repository.
#   cmake -DROOT=FOLDER [-DOUTPUT=FILE] -P source_id.cmake
# Prints the id, or writes FILE, a C++ source, if the id has changed.
cmake_minimum_required(VERSION 3.25)
set(id_digits 12)

file(GLOB_RECURSE files RELATIVE "${ROOT}"
  "${ROOT}/generated/*" "${ROOT}/include/*" "${ROOT}/platform/*"
  "${ROOT}/src/*" "${ROOT}/tools/daemon/*")
list(APPEND files CMakeLists.txt)
list(SORT files)
set(hashes "")
foreach(file IN LISTS files)
  file(SHA256 "${ROOT}/${file}" hash)
  string(APPEND hashes "${file} ${hash}\n")
endforeach()
string(SHA256 id "${hashes}")
string(SUBSTRING "${id}" 0 ${id_digits} id)

if(NOT OUTPUT)
  execute_process(COMMAND "${CMAKE_COMMAND}" -E echo "${id}")
  return()
endif()
file(CONFIGURE OUTPUT "${OUTPUT}" @ONLY CONTENT [=[
#include "tanagerhoist/core/source_id.hpp"

namespace tanagerhoist
{

std::string_view source_id() noexcept
{
    return "@id@";
}

} // namespace tanagerhoist
]=])
