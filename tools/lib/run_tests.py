"""Runs the C++ tests, then the test functions of tests/*_test.py.

Failures of tests that KNOWN-RED.txt lists are printed but do not make the run fail.
"""

import argparse
import importlib.util
import re
import subprocess
import sys
import tempfile
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools" / "lib"))


def known_failures():
    """Returns the entries of KNOWN-RED.txt by test name, which is their first field."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return {line.split("|")[0].strip(): line for line in lines if "|" in line and not line.startswith("#")}


def run_cpp_tests(build):
    """Runs the C++ tests. Returns the names of all tests and of those that failed."""
    program = build / "tests" / "lavender-tests"
    listed = subprocess.run([program, "-ln"], capture_output=True, text=True, check=True)
    names = {name for name in listed.stdout.split() if "." in name}
    result = subprocess.run([program], capture_output=True, text=True, check=False)
    output = result.stdout + result.stderr
    failed = {f"{group}.{name}" for group, name in re.findall(r"Failure in TEST\((\w+), (\w+)\)", output)}
    if result.returncode != 0:
        print(output)
    if result.returncode < 0 or (result.returncode != 0 and not failed):
        failed.add(f"lavender-tests ended with {result.returncode}")
    return names, failed


def run_python_tests(build):
    """Calls each test function with the build folder and an empty temporary folder. Returns names as run_cpp_tests does."""
    names, failed = set(), set()
    for path in sorted((ROOT / "tests").glob("*_test.py")):
        spec = importlib.util.spec_from_file_location(path.stem, path)
        module = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
        for name, function in vars(module).items():
            if not name.startswith("test_"):
                continue
            names.add(f"{path.stem}.{name}")
            with tempfile.TemporaryDirectory() as folder:
                try:
                    function(build, Path(folder))
                except Exception:
                    traceback.print_exc()
                    failed.add(f"{path.stem}.{name}")
    return names, failed


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True, type=Path)
    build = parser.parse_args().build.resolve()
    known = known_failures()
    names, failed = run_cpp_tests(build)
    python_names, python_failed = run_python_tests(build)
    names |= python_names
    failed |= python_failed
    for name in sorted(failed & known.keys()):
        print(f"KNOWN RED {known[name]}")
    unexpected = sorted(failed - known.keys())
    for name in unexpected:
        print(f"FAILED {name}")
    passed = len(names - failed)
    skipped = len(failed & known.keys())
    print(f"{passed} passed, {len(unexpected)} failed" + (f", {skipped} skipped" if skipped else ""))
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
