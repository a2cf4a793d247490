# Sets `python` to a Python of version 3.8 or later; without one, the case can't run. Only its standard library is used.
python=
for candidate in "${PYTHON:-python3}" /usr/bin/python3 /usr/local/bin/python3; do
    if "$candidate" -c 'import sys; sys.exit(sys.version_info < (3, 8))' 2>/dev/null; then
        python=$candidate
        break
    fi
done
if [ -z "$python" ]; then
    echo "there is no Python 3.8 or later"
    exit 2
fi
export PYTHONDONTWRITEBYTECODE=1
