"""Two real processes of one node on loopback, with one inherited socket: under load, no RPC is lost."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

from test_start import TOLD

from hookpitch.standin.loopback import Client, cache, call, listening, ready, serve

ROOT = Path(__file__).parent.parent


def test_a_node_is_replaced_twice_under_load_and_no_rpc_is_lost(tmp_path: Path) -> None:
    caches, held, discovery, doors = [listening() for _ in range(2)], listening(), listening(), []
    for one in caches:
        serve(one, cache)
    hosts = [
        TOLD["known"]["hosts"][0]
        | {"host": f"s{n}", "dial": f"127.0.0.1:{one.getsockname()[1]}", "born_ms": 0}
        for n, one in enumerate(caches)
    ]
    known = {"seq": 1, "whole": True, "hosts": hosts}

    def watched(peer: socket.socket) -> None:
        peer.recv(4096)
        line = json.dumps(known).encode() + b"\n"
        peer.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line))
        with suppress(OSError):
            while peer.send(b"1\r\n\n\r\n"):
                time.sleep(1)

    serve(discovery, watched)
    told = TOLD | {"listen": f"127.0.0.1:{held.getsockname()[1]}", "known": known,
                   "discovery": f"127.0.0.1:{discovery.getsockname()[1]}"}  # fmt: skip
    (tmp_path / "node.json").write_text(json.dumps(told))
    processes: list[subprocess.Popen[bytes]] = []

    def start() -> None:
        with listening() as free:
            doors.append(free.getsockname()[1])
        environment = os.environ | {
            "PROXY_CONFIG": str(tmp_path / "node.json"), "PROXY_INHERITED_FD": str(held.fileno()),
            "PROXY_MANAGEMENT": f"127.0.0.1:{doors[-1]}", "TMPDIR": str(tmp_path),
        }  # fmt: skip
        processes.append(subprocess.Popen([sys.executable, "-m", "hookpitch"], cwd=ROOT, env=environment,
                                          pass_fds=[held.fileno()], stderr=subprocess.DEVNULL))  # fmt: skip
        assert ready(doors[-1])

    clients = []
    try:
        start()
        clients = [Client(f"c{n}", held.getsockname()) for n in range(8)]
        for client in clients:
            client.start()
        assert call(doors[0], b"SUSPEND s0") == b"YES\n"
        for _ in range(2):
            start()
            assert b"svc.members_unavailable=1" in call(doors[-1], b"METRICS")  # the ban is the node's
            processes[-2].send_signal(signal.SIGTERM)
            assert processes[-2].wait(5) == 0
        assert call(doors[-1], b"RESTORE s0") == b"YES\n"
        assert b"svc.members_unavailable=0" in call(doors[-1], b"METRICS")
        time.sleep(0.3)
        assert processes[-1].poll() is None
    finally:
        for client in clients:
            client.stop = True
        for client in clients:
            client.join(5)
        for process in processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        for one in (*caches, held, discovery):
            one.close()
    assert not [wrong for client in clients for wrong in client.wrong]
    assert all(client.served > 50 for client in clients)
