#!/usr/bin/env bash
# Fails when a name of the platform's wire appears in C++ code outside platform/, tests/ and standins/.
set -euo pipefail
cd "$(dirname "$0")/.."
names=(
    'log-(append|read|newest|join|leave|commit|owners|trim)'
    'api/(order|report|ready|hold-|kv-)' 'kv-(events|list|handle|pin|move)' 'hold-(take|drop)'
    'keyed\.(op|servers|status)' 'X-Tenant' 'X-Token-Usage' 'X-Prompt-Prefix' 'X-Expect-(Instance|Version)'
    'X-Instance-Id' 'X-Request-Priority' 'X-Weight-Versions' 'X-Server-(Signature|Load)' 'X-Not-Executed'
    'X-Hold' 'X-Pin-Ms' 'X-Kv-Backup' 'Kv-(From|Fetch)' 'fencing_token' 'traffic_split' 'api_keys'
    'target_(latency|gap)_ms' 'kv_(capacity|used|total)' 'weights_mb' 'plain_tokens' 'rate_per_s'
)
pattern=$(IFS='|' && echo "${names[*]}")
mapfile -t files < <(scripts/sources.sh '*.cpp' '*.h' ':!platform' ':!tests' ':!standins')
if grep -nHiE "$pattern" "${files[@]}"; then
    echo "names of the platform belong into platform/" >&2
    exit 1
fi
