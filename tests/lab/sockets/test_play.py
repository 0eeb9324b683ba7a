"""A real day: node processes on sockets, killed, stalled and told of new lists, with the auditor behind them.

What is asserted holds on a machine of any speed: rules, ends and outcomes, never times.
"""

import os
import select
import signal
import subprocess
import sys
import time
from pathlib import Path

import gevent
import pytest
from gevent import socket

from irisstack.lab import ledger as records
from irisstack.lab.audit import parameters, rules
from irisstack.lab.partner import Destination
from irisstack.lab.sockets import http, partners
from irisstack.lab.sockets.platform import Platform
from irisstack.lab.sockets.play import _first_ends, play
from irisstack.lab.sockets.run_context import RunContext, RunError
from tests.lab.support import SMALL_SCENARIO, small_world, trouble_toml

DAY = (
    trouble_toml("silent", at_s=1.5, for_s=2.0, destinations=[1])
    + trouble_toml("killed", at_s=3.0, for_s=0.5, share=0.5)
    + trouble_toml("replaced", at_s=4.0, for_s=1.0, destinations=[2], endpoints=1)
    + trouble_toml("shut", at_s=5.0, for_s=1.5, destinations=[3], tells_wait=1.0)
    + trouble_toml("resets", at_s=6.0, for_s=1.0, destinations=[1])
    + trouble_toml("connect_refused", at_s=6.5, for_s=1.0, destinations=[2])
    + trouble_toml("answers_spoilt", at_s=7.0, for_s=1.0, destinations=[3])
    + trouble_toml("list_down", at_s=3.5, for_s=0.4)
    + trouble_toml("stalled", at_s=8.0, for_s=0.3, share=0.5)
)


def test_a_troubled_day_on_real_sockets_keeps_the_rules(tmp_path: Path) -> None:
    # Little room, so that messages are refused while there is time to come again.
    world = small_world(
        tmp_path, DAY, scenario__length_s=10.0, endpoint_list__mode="on_request", senders__room_s=2.0
    )
    played = play(world, tmp_path / "nodes")
    assert not [fault for fault in played.not_a_result.split("; ") if fault and "ran late" not in fault]
    found = rules.build_index(played.ledger)
    checked = rules.check(found, parameters.audit_parameters(world))
    assert {name: breaches for name, breaches in checked.items() if breaches} == {}
    assert len(found.by_chain) + len(found.never_submitted) == len(world.messages)
    delivered = {
        history.submitted.chain
        for history in found.submissions.values()
        if any(end.result == "delivered" for end in history.ended)
    }
    assert len(delivered) > 0.7 * len(world.messages)
    assert {announcement.state for announcement in found.announced} >= {"draining", "ready"}
    assert any(len(group) > 1 for group in found.by_chain.values())  # refused ones came again
    states = [state.state for group in found.states.values() for state in group]
    assert {"killed", "stalled", "awake"} <= set(states)
    assert {answer.verdict for answer in found.answered} >= {"ok", "refused", "timeout", "reset"}


def test_a_partner_that_forgets_its_keys_is_seen(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The auditor is not blind on sockets: a partner that forgets its keys shows as effects twice."""
    monkeypatch.setattr(Destination, "is_duplicate", lambda self, now, item: False)
    world = small_world(
        tmp_path,
        trouble_toml("answers_lost", at_s=0.5, for_s=3.0, share=1.0, strength=1.0),
        scenario__length_s=4.0,
    )
    found = rules.build_index(play(world, tmp_path / "nodes", processes=0).ledger)
    assert rules.count_duplicate_effects(found, parameters.audit_parameters(world)) > 0


def test_a_call_to_the_wrong_place_makes_the_run_no_result(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = small_world(tmp_path, scenario__length_s=1.0)
    first = partners.Partners.__init__

    def crossed(self: partners.Partners, context: RunContext, only: None = None) -> None:
        first(self, context, only)
        one, two = (self.servers[number] for number in (1, 3))
        one.endpoint, two.endpoint = two.endpoint, one.endpoint

    monkeypatch.setattr(partners.Partners, "__init__", crossed)
    assert "for another destination" in play(world, tmp_path / "nodes", processes=0).not_a_result


def test_too_many_processes_are_refused_before_one_is_started(tmp_path: Path) -> None:
    with pytest.raises(RunError, match=r"senders\.count"):
        play(small_world(tmp_path, senders__count=65), tmp_path / "nodes")


def started(folder: Path) -> tuple["subprocess.Popen[str]", list[int]]:
    """A run in a process of its own, once its two nodes serve."""
    path = folder / "small.toml"
    path.write_text(SMALL_SCENARIO)
    command = [sys.executable, "-m", "irisstack", "lab", "run", str(path), "--out", str(folder / "out")]
    running = subprocess.Popen(command, stderr=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    logs = folder / "out" / "small-sockets-1" / "nodes"
    while running.poll() is None and not all(
        (log := logs / f"node-{n}.log").exists() and b"serving" in log.read_bytes() for n in (0, 1)
    ):
        time.sleep(0.05)
    return running, _children(running.pid)


def test_a_run_that_is_killed_takes_its_nodes_with_it(tmp_path: Path) -> None:
    running, children = started(tmp_path)
    running.kill()
    running.communicate(timeout=60)
    assert len(children) == 4  # two nodes, two processes of partners
    while any(Path(f"/proc/{pid}").exists() for pid in children):  # a node left behind hangs the test
        time.sleep(0.05)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_keeps_what_it_saw_and_leaves_no_process(tmp_path: Path, number: int) -> None:
    running, children = started(tmp_path)
    time.sleep(0.3)  # a moment for messages; nothing below depends on how many
    running.send_signal(number)
    out, err = running.communicate(timeout=60)
    assert running.returncode == 1
    assert "partial" in out
    assert "Traceback" not in err
    assert len(children) == 4  # two nodes, two processes of partners
    assert not [pid for pid in children if Path(f"/proc/{pid}").exists()]
    kept = tmp_path / "out" / "small-sockets-1"
    assert {"run.json", "ledger.jsonl.gz", "report.html", "scenario.json"} <= set(os.listdir(kept))
    assert any(isinstance(entry, records.NodeState) for entry in records.read(kept / "ledger.jsonl.gz"))


def _children(parent: int) -> list[int]:
    found = []
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            words = stat.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(words[1]) == parent:
            found.append(int(stat.parent.name))
    return found


@pytest.mark.parametrize(("reads", "verdict"), [(True, "ok"), (False, "crossed")])
def test_an_answer_was_heard_unless_its_reader_closed_before_it_came(
    tmp_path: Path, reads: bool, verdict: str
) -> None:
    """A node that closes after reading was answered; one that closes with the answer unread resets."""
    context = RunContext(small_world(tmp_path))
    context.started_at = time.monotonic()
    served = partners.Partners(context)
    server = served.servers[1]
    message = context.world.messages[0]
    message = type(message)(message.number, 0.0, 0, server.endpoint.destination.spec.number, 0, 0.1, -1)
    id_, _ = context.submit(message, 0, 8.0, 1)
    with socket.create_connection(server.address) as sock:
        sock.sendall(http.request("POST", "/v1/messages", "x", {"X-Request-ID": id_}, b"body"))
        while not select.select([sock], [], [], 0.0)[0]:
            gevent.sleep(0.01)  # the answer lies in the socket, unread
        if reads:
            assert sock.recv(4096).startswith(b"HTTP/1.1 200")
    while not any(isinstance(entry, records.Answered) for entry in context.ledger):
        gevent.sleep(0.01)
    served.stop()
    assert [entry.verdict for entry in context.ledger if isinstance(entry, records.Answered)] == [verdict]
    assert [entry.result for entry in context.ledger if isinstance(entry, records.Ended)] == ["delivered"]


def test_two_notices_that_contradict_each_other_stay_for_the_auditor(tmp_path: Path) -> None:
    context = RunContext(small_world(tmp_path))
    context.started_at = time.monotonic()
    served = partners.Partners(context)
    platform = Platform(context, {n: server.address for n, server in served.servers.items()})
    ids = [context.submit(context.world.messages[i], 0, 8.0, 1)[0] for i in range(3)]
    told = [(ids[0], "dead"), (ids[0], "dead"), (ids[1], "dead"), (ids[1], "bounced"), (ids[2], "dead")]
    context.end(context.submissions[ids[2]], "delivered")
    body = b"".join(b'{"ref":"%s","result":"%s"}\n' % (ref.encode(), how.encode()) for ref, how in told)
    host, _, port = platform.address(0).partition(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(http.request("POST", "/reports", "x", {}, body))
        assert sock.recv(4096).startswith(b"HTTP/1.1 204")
    platform.stop()
    served.stop()
    ends = [entry for entry in _first_ends(context.ledger) if isinstance(entry, records.Ended)]
    assert sorted((entry.message, entry.result) for entry in ends) == [
        (1, "failed"),
        (2, "failed"),
        (2, "refused"),
        (3, "delivered"),
    ]
