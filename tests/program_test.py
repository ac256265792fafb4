"""Tests the interfaces of the programs to operators: command lines, settings, exit codes, install tree, docs/SETTINGS.md."""

import json
import os
import signal
import subprocess
from pathlib import Path

from fleet import free_ports

ROOT = Path(__file__).resolve().parents[1]


def run(*command, **options):
    return subprocess.run([str(part) for part in command], capture_output=True, text=True, timeout=120, check=False, **options)


def test_help_and_version(build, folder):
    for name in ("lavender-balancer", "lavender-agent", "lavenderctl", "lavender-replay"):
        program = build / "src" / name
        assert run(program, "--help").returncode == 0
        assert "xit codes" in run(program, "--help").stdout
        assert run(program, "--version").stdout.startswith(name)
        assert run(program, "--nonsense").returncode == 2


def test_check_config_reports_every_fault(build, folder):
    path = folder / "agent.json"
    path.write_text('{"listen": "127.0.0.1:0", "zone": "A", "servce": "orders"}')
    result = run(build / "src" / "lavender-agent", "--config", path, "--check-config")
    assert result.returncode == 2
    for fault in ('/listen: "127.0.0.1:0": expected', '/zone: "A": expected', "/servce: unknown setting: did you mean /service?", "/return: missing"):
        assert f"{path}: {fault}" in result.stderr, result.stderr
    path.write_text('{"listen": "127.0.0.1:7000", "zone": "a", "service": "orders", "upstream": {"url": "http://127.0.0.1:8000"}, "return": "127.0.0.1:9000"}')
    assert run(build / "src" / "lavender-agent", "--config", path, "--check-config").returncode == 0


def next_event(process):
    return json.loads(process.stdout.readline())["event"]


def test_a_process_takes_over_the_address_of_one_that_stops(build, folder):
    """Guards against a restart that ends by itself since the process before it has not let go of the address yet."""
    port = free_ports(1)[0]
    path = folder / "balancer.json"
    path.write_text(json.dumps({"listen": f"127.0.0.1:{port}", "zone": "a", "log": {"format": "json"}, "stop": {"linger_ms": 0}}))
    command = [str(build / "src" / "lavender-balancer"), "--config", str(path)]
    start = lambda: subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    with start() as first, start() as second, start() as third:
        processes = [first, second, third]
        events = [next_event(process) for process in processes]
        assert sorted(events) == ["address-in-use", "address-in-use", "started"], events
        holder = processes.pop(events.index("started"))
        processes[0].terminate()  # One that waits stops as well.
        assert processes[0].wait(10) == 0
        holder.terminate()
        assert holder.wait(10) == 0
        assert next_event(processes[1]) == "started"
        processes[1].terminate()
        assert processes[1].wait(10) == 0


def test_address_of_another_instance(build, folder):
    path = folder / "balancer.json"
    path.write_text(json.dumps({"listen": "192.0.2.1:7000", "zone": "a", "log": {"format": "json"}}))
    result = run(build / "src" / "lavender-balancer", "--config", path)
    assert result.returncode == 3 and json.loads(result.stdout)["event"] == "listen-failed", result.stdout


def test_reload_takes_what_may_change(build, folder):
    port = free_ports(1)[0]
    path = folder / "balancer.json"
    settings = {"listen": f"127.0.0.1:{port}", "zone": "a", "stop": {"linger_ms": 0}}
    path.write_text(json.dumps(settings))
    with subprocess.Popen([str(build / "src" / "lavender-balancer"), "--config", str(path)], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True) as process:
        assert "started" in process.stderr.readline()
        path.write_text('{"listen": 7}')
        process.send_signal(signal.SIGHUP)
        seen = [process.stderr.readline()]
        while "expected A" not in seen[-1] and "/zone: missing" not in seen[-1]:
            seen.append(process.stderr.readline())
        assert "settings-refused" in seen[0], seen
        path.write_text(json.dumps({**settings, "zone": "b", "log": {"format": "json"}}))
        process.send_signal(signal.SIGHUP)
        seen = [process.stderr.readline()]
        while "settings-reread" not in seen[-1]:
            seen.append(process.stderr.readline())
        assert any("settings-need-restart: /zone" in line for line in seen), seen
        process.terminate()
        assert json.loads(process.stdout.readline())["event"] == "stop-begun"
        assert process.wait(10) == 0


def test_a_signal_to_stop_during_the_start_is_a_graceful_stop(build, folder):
    path = folder / "balancer.json"
    os.mkfifo(path)
    with subprocess.Popen([str(build / "src" / "lavender-balancer"), "--config", str(path)], stderr=subprocess.PIPE, text=True) as process:
        with open(path, "w") as settings:  # Returns once the process reads its settings.
            process.send_signal(signal.SIGTERM)
            json.dump({"listen": f"127.0.0.1:{free_ports(1)[0]}", "zone": "a", "stop": {"linger_ms": 0}}, settings)
        assert process.wait(10) == 0
        assert "stop-begun" in process.stderr.read()


def test_ctl_check(build, folder):
    ctl = build / "src" / "lavenderctl"
    good = "service orders at 10.0.0.1:80 # ann\nannounce orders in a # ann\n"
    assert run(ctl, "check", "-", input=good).returncode == 0
    bad = run(ctl, "check", "-", input="service orders at 10.0.0.1:80\n")
    assert bad.returncode == 1 and bad.stderr.startswith("-:1:30: no comment"), bad.stderr
    faults = json.loads(run(ctl, "check", "-", "--json", input="zone a away # x\n").stdout)["faults"]
    assert faults == [{"line": 1, "column": 8, "text": '"away": expected "in", "out" or "drain"'}], faults


def test_ctl_command_line(build, folder):
    ctl = build / "src" / "lavenderctl"
    for words in (["frobnicate"], ["check"], ["zone", "out", "a"], ["zone", "up", "a", "--store", "http://127.0.0.1:1", "--who", "x"], ["status", "nonsense"]):
        assert run(ctl, *words).returncode == 2, words
    port = free_ports(1)[0]
    assert run(ctl, "show", "--store", f"http://127.0.0.1:{port}").returncode == 3
    assert run(ctl, "status", f"127.0.0.1:{port}").returncode == 3


def test_settings_page_is_up_to_date(build, folder):
    printed = run(build / "src" / "lavenderctl", "settings").stdout
    assert printed == (ROOT / "docs" / "SETTINGS.md").read_text(), "run: lavenderctl settings > docs/SETTINGS.md"


def test_replay_exit_codes_and_same_bytes(build, folder):
    replay = build / "src" / "lavender-replay"
    trace = ROOT / "traces" / "krojac-zone.jsonl"
    first, second = (run(replay, trace, "--seed", 4, "--json") for _ in range(2))
    assert first.returncode == 0 and first.stdout == second.stdout
    failing = folder / "failing.jsonl"
    failing.write_text(trace.read_text() + '{"expect": "broken_flows", "at_least": 1}\n')
    result = run(replay, failing)
    assert result.returncode == 1 and "FAILED line" in result.stdout, result.stdout
    naive = run(replay, ROOT / "traces" / "wrekin-upstreams.jsonl", "--policy", "naive")
    assert naive.returncode == 1 and "ms: 10.0.0.1:" in naive.stdout, naive.stdout
    failing.write_text("nonsense\n")
    bad = run(replay, failing)
    assert bad.returncode == 2 and "line 1: not a JSON object" in bad.stderr, bad.stderr


def test_example_embeds_the_install_tree(build, folder):
    prefix = folder / "prefix"
    assert run("cmake", "--install", build, "--prefix", prefix).returncode == 0
    flags = [f"-DCMAKE_PREFIX_PATH={prefix}"]
    if "sanitize" in build.name:
        flags.append("-DCMAKE_CXX_FLAGS=-fsanitize=address,undefined")
    configured = run("cmake", "-S", ROOT / "examples", "-B", folder / "example", *flags)
    assert configured.returncode == 0, configured.stderr
    built = run("cmake", "--build", folder / "example")
    assert built.returncode == 0, built.stdout + built.stderr
    example = run(folder / "example" / "embed-bucket-table")
    assert example.returncode == 0 and "buckets" in example.stdout
    assert (prefix / "lib").exists() and list(prefix.rglob("lavender.pc"))
