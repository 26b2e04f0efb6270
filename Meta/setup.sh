# Sourced by carobhinge.sh: the packages that build and tests need.

PACKAGES=(
  g++ clang clang-format clang-tidy cmake ninja-build ccache mold
  libboost1.81-dev libnghttp2-dev libspdlog-dev libfmt-dev libcli11-dev
  libprotobuf-dev protobuf-compiler libxxhash-dev libsodium-dev libssl-dev
  zlib1g-dev
  libgtest-dev libgmock-dev librapidcheck-dev libclang-rt-14-dev
  python3 git
)

# Trees in different folders share one compiler cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1 CCACHE_SLOPPINESS=time_macros

# How many compilers and tests run at once.
JOBS=${CAROBHINGE_JOBS:-$(nproc)}

# Installs only what dpkg does not already report as installed.
install_packages() { # install_packages [PACKAGE...], beside PACKAGES
  local missing=() package
  for package in "${PACKAGES[@]}" "$@"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
      grep -q 'ok installed' || missing+=("$package")
  done
  mkdir -p Build
  [ ${#missing[@]} -eq 0 ] && return 0
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends "${missing[@]}" >/dev/null
}
