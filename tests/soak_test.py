"""A short run of the fault soak, and each of its seeds that ever failed."""

import subprocess
import sys

from platform_standins import ROOT

SHORT = ("7", "0.5", "12")  # Seed, minutes, processes.


def play(build, seed, minutes, processes):
    result = subprocess.run([sys.executable, ROOT / "tools" / "soak", "--seed", seed, "--minutes", minutes, "--processes", processes, "--build", build], capture_output=True, text=True, check=False)
    assert result.returncode == 0, result.stdout[-4000:] + result.stderr[-2000:]
    assert "1 passed, 0 failed" in result.stdout, result.stdout[-2000:]


def test_a_short_soak_keeps_every_promise(build, folder):
    play(build, *SHORT)


def test_seeds_that_failed_once_keep_every_promise(build, folder):
    seeds = [line.split("|")[0].split() for line in (ROOT / "tests" / "soak_seeds.txt").read_text().splitlines() if not line.startswith("#")]
    assert seeds
    for seed in seeds:
        play(build, *seed)
