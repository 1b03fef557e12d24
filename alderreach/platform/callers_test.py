"""Tests what callers' headers say: their keys and their time limits."""

import pytest

from alderreach.platform import callers, wire


def digest_of(header):
    return callers.key_digest({"HTTP_AUTHORIZATION": header})


@pytest.mark.parametrize("header", ["Token k-1", "token k-1", "Token   k-1 "])
def test_a_key(header):
    assert digest_of(header) == wire.key_digest(b"k-1")


def test_a_request_without_a_key():
    assert callers.key_digest({}) == b""


@pytest.mark.parametrize(
    "header", ["", "Token", "Token ", "Bearer k-1", "k-1", "Token " + 513 * "k"]
)
def test_a_header_that_can_not_be_read_is_an_unknown_key(header):
    assert digest_of(header) == callers.UNREADABLE_KEY_DIGEST


def test_two_keys_are_no_key():
    known = {wire.key_digest(b"k-1"), wire.key_digest(b"k-2")}
    assert digest_of("Token k-1, Token k-2") not in known


@pytest.mark.parametrize(
    ("header", "expected_ms"),
    [("700", 700), ("700.5", 700), ("1e9", callers.MAX_DEADLINE_MS), ("0", 80)]
    + [(text, callers.DEFAULT_DEADLINE_MS) for text in ("", "abc", "nan")],
)
def test_a_time_limit(header, expected_ms):
    assert callers.deadline_ms({"HTTP_DEADLINE_MS": header}) == expected_ms


@pytest.mark.parametrize("header", ["inf", "1e400", "-inf", "-1", "1e300"])
def test_a_time_limit_out_of_range_is_named(header):
    """Guards against a connection that is closed without an answer."""
    with pytest.raises(wire.MalformedError, match="Deadline-Ms"):
        callers.deadline_ms({"HTTP_DEADLINE_MS": header})
