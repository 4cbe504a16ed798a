#!/usr/bin/env bash
# A store is retired while another one, which was replaced and is back, still has an old list of members.
cd "$(dirname "$0")/../.." || exit 2
command -v python3 >/dev/null || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 review/1/case.py
