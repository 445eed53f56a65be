# Functions for installing packages and building; sourced by the other scripts.

declared_packages() {
    grep -v '^#' scripts/packages.txt
}

# Installs missing packages; needs root only if there are any.
ensure_packages() {
    local missing=()
    local package
    for package in $(declared_packages); do
        if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
            missing+=("$package")
        fi
    done
    if [ "${#missing[@]}" -gt 0 ]; then
        echo "installing: ${missing[*]}"
        local sudo=()
        [ "$(id -u)" -eq 0 ] || sudo=(sudo)
        "${sudo[@]}" apt-get update -qq
        DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
    fi
}

# ensure_built FOLDER [CMAKE_OPTION...]: configures FOLDER if it is new or options are given, and builds it.
ensure_built() {
    local folder=$1
    shift
    ensure_packages
    if [ ! -f "$folder/build.ninja" ] || [ "$#" -gt 0 ]; then
        echo "configuring $folder"
        cmake -S . -B "$folder" -G Ninja "$@" >"$folder.log" 2>&1 || { cat "$folder.log"; return 1; }
        rm -f "$folder.log"
    fi
    ninja -C "$folder" --quiet
}

source_files() {
    git ls-files '*.cpp' '*.h'
}
