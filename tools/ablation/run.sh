#!/usr/bin/env bash
# Switches off each mechanism by itself and prints what it is worth.
#
# usage: tools/ablation/run.sh BENCH OUT JOBS "SEEDS" "SITE DAY" ...
#
# Each patch in mechanisms/ switches one mechanism off. The program is built and played in a scratch
# copy in OUT; nothing of the repository changes. Prints the mean of `worth` for each mechanism and
# pair of site and day, and the difference from the program as it is, paired by seed.
set -euo pipefail
bench=$1 out=$2 jobs=$3 seeds=$4
shift 4
top=$(git rev-parse --show-toplevel)
copy=$out/copy
mkdir -p "$out"
[ -d "$copy" ] || cp -a "$top" "$copy"
play_all() { # MECHANISM "SITE DAY" ...
    local name=$1 pair seed
    shift
    (cd "$copy" && "$bench" build >"$out/$name.build")
    for pair in "$@"; do
        for seed in $seeds; do echo "$pair $seed"; done
    done | WHY="ablation, on a scratch copy, switched off: $name" NAME=$name BENCH=$bench OUT=$out \
        xargs -P "$jobs" -L1 bash -c 'cd "$OUT/copy" && "$BENCH" run "$0" "$1" --seed "$2" --why "$WHY" \
            >"$OUT/$NAME.$(basename "$0" .toml).$1.$2.log" 2>&1 || true'
}
play_all nothing "$@"
for patch in "$top"/tools/ablation/mechanisms/*.patch; do
    name=$(basename "$patch" .patch)
    git -C "$copy" apply "$patch"
    play_all "$name" "$@"
    git -C "$copy" apply -R "$patch"
done
worth() { sed -n 's/^worth \(-\?[0-9.]*\) =.*/\1/p' "$1"; }
for pair in "$@"; do
    read -r site day <<<"$pair"
    site=$(basename "$site" .toml)
    echo "$site $day"
    for patch in "$top"/tools/ablation/mechanisms/*.patch; do
        name=$(basename "$patch" .patch)
        for seed in $seeds; do
            echo "$(worth "$out/nothing.$site.$day.$seed.log") $(worth "$out/$name.$site.$day.$seed.log")"
        done | awk -v name="$name" 'NF == 2 { on += $1; off += $2; n++ }
            END { if (n) printf "  %-40s %.3f off %.3f, worth %+.3f (n=%d)\n", name, on/n, off/n, (on-off)/n, n }'
    done
done
