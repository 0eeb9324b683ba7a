"""Which call a response on a connection belongs to, and when a connection may carry another call."""

import pytest

from irisstack.node.http import Message
from irisstack.node.response_match import MAX_CALLS_PER_CONNECTION, BodyVariety, Match, ResponseMatcher


def response(body: str = "", status: int = 200, request_id: str = "") -> Message:
    headers = {"x-request-id": request_id} if request_id else {}
    return Message(headers, bytearray(body.encode()), keep_alive=True, status=status)


def varied(*bodies: str) -> BodyVariety:
    """What is known of an endpoint after responses with these bodies."""
    variety = BodyVariety()
    for body in bodies:
        variety.observe(body)
    return variety


def complete(matcher: ResponseMatcher, id_: str, body: str, request_id: str = "") -> bool:
    """Whether the connection may be reused after this call."""
    own = response(body, request_id=request_id)
    assert matcher.match(own, [id_], "") is Match.OWN
    return matcher.complete_call(own, [id_], all_finished=True)


@pytest.mark.parametrize(
    ("variety", "body", "reusable"),
    [
        (varied(), "m1", True),
        (varied("x", "x"), "m1", True),
        (varied(), "x", False),
        (varied("x"), "y", True),
        (varied("x", "y"), "z", True),
        (varied("x"), "x", False),
        (varied("x", "y", "x"), "z", False),
        (varied("x", "y"), "", False),
        (varied("x", "y"), "a HTTP/1.1 response", False),
        (varied("x", ""), "y", False),
    ],
)
def test_connection_is_reused_only_after_a_response_that_differs_from_all_others(
    variety: BodyVariety, body: str, reusable: bool
) -> None:
    assert complete(ResponseMatcher(variety), "m1", body) is reusable


def test_response_header_may_name_the_message() -> None:
    assert complete(ResponseMatcher(varied()), "m1", "same", request_id="m1")
    assert not complete(ResponseMatcher(varied()), "m1", "same", request_id="m0")


@pytest.mark.parametrize(("status", "all_finished"), [(503, True), (200, False)])
def test_connection_is_not_reused_after_a_refusal_or_an_unfinished_message(
    status: int, all_finished: bool
) -> None:
    matcher = ResponseMatcher(varied("x", "y"))
    assert not matcher.complete_call(response("m1", status), ["m1"], all_finished)


def test_repetition_of_any_earlier_response_is_found() -> None:
    matcher = ResponseMatcher(varied("x", "y"))
    for id_, body in (("m1", "a"), ("m2", "b"), ("m3", "m3")):
        assert complete(matcher, id_, body)
    for body in ("a", "b", "m3"):
        assert matcher.match(response(body), ["m4"], "") is Match.REPEATED
    for own in (response("c"), response("m4"), response("", 503), response("", 500)):
        assert matcher.match(own, ["m4"], "") is Match.OWN


def test_first_response_of_a_connection_is_own_whatever_it_says() -> None:
    assert ResponseMatcher(varied("x")).match(response("x"), ["m1"], "rest") is Match.OWN


def test_response_to_a_batch_call_is_told_from_an_earlier_one() -> None:
    matcher = ResponseMatcher(varied())
    first, second = ["m1", "m2"], ["m3", "m4"]
    lines = "m1 accepted\r\nm2 accepted\r\n"
    assert matcher.match(response(lines), first, "") is Match.OWN
    assert matcher.complete_call(response(lines), first, all_finished=True)
    assert matcher.match(response(lines), second, "") is Match.REPEATED
    assert matcher.match(response("m3 accepted\r\nm4 deferred\r\n"), second, "") is Match.OWN
    assert not matcher.complete_call(response("m3 accepted\r\n"), second, all_finished=True)


@pytest.mark.parametrize(
    ("body", "next_text", "match"),
    [
        ("b", "", Match.OWN),
        ("b", "HT", Match.OWN),
        ("b", "HTTP/", Match.OWN),
        ("bHT", "TP/1.", Match.UNCLEAR),
        ("bHTTP/1.1", " 503 ", Match.UNCLEAR),
        ("bHTTP/1.1", "", Match.UNCLEAR),
        ("m2 acceptedHTTP/1.1", "", Match.UNCLEAR),
        ("m2", " 503 ", Match.OWN),
        ("", "", Match.UNCLEAR),
    ],
)
def test_mixture_of_responses_is_unclear(body: str, next_text: str, match: Match) -> None:
    """A response cut short takes its missing bytes from the next one."""
    matcher = ResponseMatcher(varied("x", "y"))
    assert complete(matcher, "m1", "a")
    assert matcher.match(response(body), ["m2"], next_text) is match


@pytest.mark.parametrize(
    ("body", "match"),
    [
        ("abcdefgH", Match.UNCLEAR),
        ("abcdHTTP", Match.UNCLEAR),
        ("abcdefgh", Match.REPEATED),
        ("zbcdefgH", Match.OWN),
        ("abcdefgX", Match.OWN),
    ],
)
def test_earlier_body_completed_by_the_start_of_a_response_is_unclear(body: str, match: Match) -> None:
    matcher = ResponseMatcher(varied("x", "y"))
    assert complete(matcher, "m1", "abcdefgh")
    assert matcher.match(response(body), ["m2"], "") is match


def test_connection_is_closed_after_as_many_calls_as_are_remembered() -> None:
    matcher = ResponseMatcher(varied())
    reusable = [complete(matcher, f"m{n}", f"m{n}") for n in range(MAX_CALLS_PER_CONNECTION)]
    assert reusable == [True] * (MAX_CALLS_PER_CONNECTION - 1) + [False]


def test_endpoint_is_distrusted_once_a_call_ended_behind_a_repetition() -> None:
    variety = varied("x", "y")
    matcher = ResponseMatcher(variety)
    assert complete(matcher, "m1", "a")
    matcher.give_up()
    assert not complete(ResponseMatcher(variety), "m2", "b")
