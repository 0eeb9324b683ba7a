"""The list service: one call after another, given up ones too, and pushes to watches."""

import pytest

from irisstack.lab.capacity import targets
from irisstack.lab.scale import list_client, list_lines
from irisstack.lab.scale.list_lines import FRAME_BYTES, HEAD_BYTES, LINE_BYTES
from irisstack.lab.scale.list_service import Costs, ListCall, ListService, State
from irisstack.lab.virtual.clock import Clock
from irisstack.node import discovery, http, list_call


class Client:
    """Keeps the answers to calls."""

    def __init__(self, service: ListService) -> None:
        self.service = service
        self.answers: list[tuple[float, int, int]] = []
        self.broken: list[int] = []

    def call(self, number: int, known_version: int = 1) -> ListCall:
        call = ListCall(number, known_version, self._answered, self._broken)
        self.service.call(self.service.clock.now, call)
        return call

    def _answered(self, now: float, call: ListCall, version: int) -> None:
        self.answers.append((round(now, 6), call.client, version))

    def _broken(self, now: float, call: ListCall) -> None:
        self.broken.append(call.client)


def _service(call_s: float, push_s: float = 0.0) -> tuple[Clock, ListService, Client]:
    clock = Clock()
    service = ListService(clock, Costs(call_s, push_s), lines=1000)
    return clock, service, Client(service)


def test_its_times_are_those_of_the_real_node() -> None:
    assert list_client.SILENCE_S == list_call.SILENCE_TIMEOUT_S
    assert list_client.ANSWER_WITHIN_S == list_call.ANSWER_TIMEOUT_S
    assert list_client.MOST_WATCHES == discovery.MAX_WATCHES
    assert list_client.OLDEST_KEPT == discovery.OLDEST_WATCHES_KEPT
    assert list_client.ANSWER_LATE_S == list_call.ANSWER_OVERDUE_AFTER_S
    assert list_client.WORD_LATE_S == list_call.WATCH_OVERDUE_AFTER_S
    assert list_client.PUSHED_PAUSE_S == discovery.WATCH_RETRY_PAUSE_S


def test_calls_are_worked_through_in_turn() -> None:
    clock, _, client = _service(0.1)
    for number in range(3):
        client.call(number)
    clock.run(10.0, lambda: False)
    assert client.answers == [(0.1, 0, 1), (0.2, 1, 1), (0.3, 2, 1)]


def test_a_call_that_was_given_up_takes_its_time_all_the_same() -> None:
    clock, service, client = _service(0.1)
    client.call(0).open = False
    client.call(1)
    clock.run(10.0, lambda: False)
    assert client.answers == [(0.2, 1, 1)]
    assert (service.counts.calls, service.counts.given_up) == (2, 1)


def test_a_change_is_pushed_to_every_watch_and_two_changes_together() -> None:
    clock, service, client = _service(0.0, push_s=0.1)
    for number in range(2):
        client.call(number)
    clock.run(1.0, lambda: False)
    client.answers.clear()
    service.change(1.0)
    service.change(1.0)
    clock.run(10.0, lambda: False)
    assert [(number, version) for _, number, version in client.answers] == [(0, 3), (1, 3)]
    assert service.counts.pushes == 2


@pytest.mark.parametrize(
    ("keeps_history", "known", "lines"), [(True, 1, 2), (True, 0, 1000), (False, 1, 1000)]
)
def test_bytes_are_those_of_the_lines_told(keeps_history: bool, known: int, lines: int) -> None:
    clock, service, client = _service(0.0)
    service.keeps_history = keeps_history
    service.version = 3
    client.call(0, known)
    clock.run(1.0, lambda: False)
    assert service.counts.bytes_sent == HEAD_BYTES + FRAME_BYTES + lines * LINE_BYTES


def test_a_refusing_service_loses_its_watches_and_its_queue() -> None:
    clock, service, client = _service(0.1)
    client.call(0)
    clock.run(1.0, lambda: False)
    client.call(1)
    client.call(2)
    service.go_down(1.0, State.REFUSING)
    assert client.broken == [0, 2]  # 1 is in work, and gone with the process
    client.call(3)
    assert client.broken == [0, 2, 3]
    assert service.counts.refused == 1
    clock.run(2.0, lambda: False)
    assert service.watching == 0


def test_a_silent_service_goes_on_with_what_was_queued() -> None:
    clock, service, client = _service(0.1)
    service.go_down(0.0, State.SILENT)
    client.call(0)
    clock.run(5.0, lambda: False)
    assert client.answers == []
    clock.at(5.0, service.come_back)
    clock.run(6.0, lambda: False)
    assert client.answers == [(5.1, 0, 1)]


def test_a_list_line_has_the_platforms_keys() -> None:
    line = list_lines.line(99_999)
    assert set(line) == {"id", "host_port", "locality", "flavor", "cell", "phase", "size", "up_since_ms"}
    assert list_lines.size_of([line, line]) == 2 * LINE_BYTES + 1


def test_the_whole_list_at_the_target_fits_into_what_a_node_reads() -> None:
    whole = list_lines.size_of(list_lines.whole_list(targets.DESTINATIONS))
    assert whole <= http.MAX_LIST
    assert whole >= targets.DESTINATIONS * (LINE_BYTES - 16)
