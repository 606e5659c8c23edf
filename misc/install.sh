#!/usr/bin/env bash
# Installs the declared packages from the distribution's registry, if any of
# them is missing. Debian 12.
set -euo pipefail

PACKAGES=(
  g++ cmake ninja-build lld pkg-config ccache clang-format clang-tidy
  libpistache-dev libcurl4-openssl-dev
  libgrpc++-dev libgrpc-dev libabsl-dev libprotobuf-dev
  libboost1.81-dev libyaml-cpp-dev nlohmann-json3-dev libgflags-dev libfmt-dev
  cpputest libcpputest-dev libbenchmark-dev curl
)

missing=()
for package in "${PACKAGES[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q "install ok installed" || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
