"""Runs the fault soak: one short run, and all seeds that failed in the past."""

import subprocess
import sys

from platform_standins import ROOT

SHORT_RUN = ("7", "0.5", "12")  # Seed, minutes, processes.


def start_soak(build, seed, minutes, processes):
    command = [sys.executable, ROOT / "tools" / "soak", "--seed", seed, "--minutes", minutes, "--processes", processes, "--build", build]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)


def assert_passed(run):
    output, _ = run.communicate()
    assert run.returncode == 0, output[-4000:]
    assert "1 passed, 0 failed" in output, output[-2000:]


def test_a_short_soak_keeps_every_promise(build, folder):
    assert_passed(start_soak(build, *SHORT_RUN))


def test_seeds_that_failed_once_keep_every_promise(build, folder):
    seeds = [line.split("|")[0].split() for line in (ROOT / "tests" / "soak_seeds.txt").read_text().splitlines() if not line.startswith("#")]
    assert seeds
    runs = [start_soak(build, *seed) for seed in seeds]  # In parallel: each run uses its own addresses.
    for run in runs:
        assert_passed(run)
