"""Tests of the simulator adapter, run as a process on hand-written exchanges."""

import json
import subprocess
import sys
from pathlib import Path

SETTINGS = {
    "balancers": 1,
    "methods": [
        {"name": "read", "soft_deadline_s": 0.4, "hard_deadline_s": 1.0, "idempotency": "retryable"}
    ],
    "discovery": "on_request",
    "host_types": ["std", "origin"],
    "family_info": {"mode": "aside", "origin_kind": 1},
    "limits": {"most_transmissions": 3, "cancelling": True, "unheard_of": 4},
    "rules": {"cold_from": 0.2, "cold_s": 20.0, "tip_after_s": 1.5, "ask_within_s": 10.0},
    "tick_s": 0.001,
}
HELLO = f"HELLO node/0 7 {json.dumps(SETTINGS)}"
LIST = "PEERS_KNOWN node/0 0 3 2\nENTRY a 0 - server_a 1 std 1\nENTRY a 0 - server_o 1 origin 1"
KEY = "91f03b7c55d20a64"


def run_batches(*batches: str) -> tuple[list[list[str]], str]:
    """Run the adapter; return its replies to each batch, without timers, and its error output."""
    text = "".join(
        f"BEGIN_BATCH {5 + index / 100}\n{batch}\nEOB\n" for index, batch in enumerate(batches)
    )
    completed = subprocess.run(
        [sys.executable, "-m", "hookpitch.simwire"],
        input=text,
        capture_output=True,
        text=True,
        check=True,
        cwd=Path(__file__).parent.parent,
        timeout=60,
    )
    replies = [reply.split("\n") for reply in completed.stdout.split("ACK\n")[:-1]]
    assert completed.stdout.count("ACK\n") == len(batches)
    return [
        [line for line in reply if line and not line.startswith("TIMER")] for reply in replies
    ], completed.stderr


def test_a_miss_is_sent_to_the_origin() -> None:
    replies, errors = run_batches(
        f"{HELLO}\n{LIST}",
        f"REQUEST node/0 r1 {KEY} 0 0.9 - - - read",
        "SETTLED node/0 r1 0.002 server_a 1 0 2 0 outstanding:3,novel:9",
        "SETTLED node/0 r1 0.05 server_o 0 1 - 1 -",
        "EXIT node/0",
    )
    assert replies[0] == ["SUBSCRIBE node/0 1"]
    assert [reply.split()[:4] for reply in replies[1]] == [["RELAY", "node/0", "r1", "server_a"]]
    assert [reply.split()[:4] for reply in replies[2]] == [["RELAY", "node/0", "r1", "server_o"]]
    assert replies[3:] == [[], []] and errors == ""


def test_malformed_lines_are_reported_and_do_not_affect_later_lines() -> None:
    malformed = [
        "WHATEVER node/0 1",
        "REQUEST node/0 r1",
        f"REQUEST node/0 r2 {KEY} 0 soon - - - read",
        "CLIENT_GONE node/9 r1",
        "SETTLED node/0 r1 0.1 server_a 77 0 - 0 -",
        "PEERS_KNOWN node/0 3 4 1\nENTRY a server_b",
    ]
    good = f"REQUEST node/0 r3 {KEY} 0 0.9 - - - read"
    replies, errors = run_batches(f"{HELLO}\n{LIST}", "\n".join(malformed), good)
    assert replies[1] == []
    assert [reply.split()[:4] for reply in replies[2]] == [["RELAY", "node/0", "r3", "server_a"]]
    assert len(errors.splitlines()) == len(malformed) and "Traceback" not in errors
    for line, error in zip(malformed, errors.splitlines(), strict=True):
        assert line.split()[0] in error


def test_a_missing_setting_is_named() -> None:
    hello = json.dumps({name: value for name, value in SETTINGS.items() if name != "methods"})
    replies, errors = run_batches(f"HELLO node/0 7 {hello}")
    assert replies[0] == ["EXCEPTION node/0 setting methods is missing"]
    assert "methods is missing" in errors
