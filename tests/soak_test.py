"""A short run of the fault soak, and each of its seeds that ever failed."""

import subprocess
import sys

from platform_standins import ROOT

SHORT = ("7", "0.5", "12")  # Seed, minutes, processes.


def begin(build, seed, minutes, processes):
    command = [sys.executable, ROOT / "tools" / "soak", "--seed", seed, "--minutes", minutes, "--processes", processes, "--build", build]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)


def judge(run):
    output, _ = run.communicate()
    assert run.returncode == 0, output[-4000:]
    assert "1 passed, 0 failed" in output, output[-2000:]


def test_a_short_soak_keeps_every_promise(build, folder):
    judge(begin(build, *SHORT))


def test_seeds_that_failed_once_keep_every_promise(build, folder):
    seeds = [line.split("|")[0].split() for line in (ROOT / "tests" / "soak_seeds.txt").read_text().splitlines() if not line.startswith("#")]
    assert seeds
    runs = [begin(build, *seed) for seed in seeds]  # Side by side: each has addresses of its own.
    for run in runs:
        judge(run)
