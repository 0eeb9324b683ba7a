#!/bin/sh
# Puts the operators' two format files beside each site file: prepare.sh FOLDER, where FOLDER holds real.json and wire.json.
set -eu
[ -f "${1:?the folder with real.json and wire.json is due}/real.json" ] && [ -f "$1/wire.json" ] || {
    echo "prepare.sh: $1 holds no real.json and wire.json" >&2
    exit 2
}
here=$(cd "$(dirname "$0")" && pwd)
for site in "$here"/*/; do
    cp "$1/real.json" "$1/wire.json" "$site"
done
