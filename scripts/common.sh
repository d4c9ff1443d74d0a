# Shared by the scripts of this folder; sourced, not run.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)

# Installs the packages of packages.txt that are missing.
install_missing() {
    local missing=()
    while read -r package; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
    done <"$root/scripts/packages.txt"
    [ "${#missing[@]}" -eq 0 ] && return 0
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
}

# Configures and builds one folder: build_in FOLDER [cmake options].
build_in() {
    local folder=$1
    shift
    cmake -S "$root" -B "$folder" -G Ninja "$@" >/dev/null
    cmake --build "$folder"
}
