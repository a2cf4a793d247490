# Finds the Python 3 interpreter for the stand-ins.
for PYTHON in /usr/bin/python3 /usr/local/bin/python3 "$(command -v python3 || true)" ''; do
    [ -n "$PYTHON" ] && "$PYTHON" -c 'import asyncio' 2>/dev/null && break
done
[ -n "$PYTHON" ] || { echo "no python3 found"; exit 2; }
export PYTHON PYTHONDONTWRITEBYTECODE=1
