#!/usr/bin/env bash
# The project's test command: format, warnings as errors, the tests plain and with ASan+UBSan, the package.
set -euo pipefail
cd "$(dirname "$0")/.."

need=()
for tool in cmake g++ clang-format make; do
  command -v "$tool" >/dev/null || need+=("${tool/clang-format/clang-format}")
done
[ -e /usr/include/gtest/gtest.h ] || need+=(libgtest-dev)
[ -e /usr/include/boost/beast/http.hpp ] || need+=(libboost-dev)
[ -e /usr/include/nlohmann/json.hpp ] || need+=(nlohmann-json3-dev)
if [ ${#need[@]} -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${need[@]}"
fi

clang-format --dry-run --Werror src/*.cpp src/*.hpp src/node/*.cpp src/node/*.hpp include/irisring/*.hpp tests/*.cpp tests/*.hpp tests/package/*.cpp

for kind in plain sanitize; do
  sanitize=OFF
  [ "$kind" = sanitize ] && sanitize=ON
  cmake -S . -B "build-test/$kind" -DCMAKE_BUILD_TYPE=RelWithDebInfo -DIRISRING_TESTS=ON \
    -DIRISRING_WERROR=ON -DIRISRING_SANITIZE=$sanitize >/dev/null
  cmake --build "build-test/$kind" -j"$(nproc)"
  ctest --test-dir "build-test/$kind" --output-on-failure -j"$(nproc)"
done

# The installed package, found and linked by a program outside the tree.
cmake --install build-test/plain --prefix "$PWD/build-test/prefix" >/dev/null
cmake -S tests/package -B build-test/package -DCMAKE_PREFIX_PATH="$PWD/build-test/prefix" >/dev/null
cmake --build build-test/package
./build-test/package/one_request
