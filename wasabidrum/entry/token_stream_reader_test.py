"""Tests the stream reader: whatever bytes arrive, only the caller's next tokens pass."""

import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from ..core.errors import CodedError
from .token_stream_reader import TokenStreamReader

ATTEMPT = "r.1"


def make_lines(tokens: int, start: int = 0, version: str = "v1") -> list[bytes]:
    """Returns the lines of a complete answer."""
    events: list[dict[str, object]] = [{"request_id": ATTEMPT, "version": version}]
    events += [{"i": i, "t": f"{i} "} for i in range(start, tokens)]
    events.append({"done": True, "tokens": tokens, "version": version})
    return [msgspec.json.encode(event) + b"\n" for event in events]


def read_all(reader: TokenStreamReader, chunks: list[bytes]) -> tuple[str, bool, str]:
    """Returns the accepted text, whether it is complete, and the code of an error, if any."""
    text, finished = "", False
    try:
        for chunk in chunks:
            batch = reader.feed(chunk)
            text += "".join(batch.tokens)
            finished = batch.finished
    except CodedError as error:
        return text, False, error.code
    return text, finished, ""


class TokenStreamReaderTest(unittest.TestCase):
    """What passes is a prefix of the true answer, and complete only with its true end."""

    @hypothesis.settings(derandomize=True, max_examples=300)
    @hypothesis.given(
        strategies.integers(0, 6),
        strategies.integers(0, 6),
        strategies.lists(strategies.integers()),
    )
    def test_any_split_gives_the_same_result(
        self, tokens: int, start: int, cuts: list[int]
    ) -> None:
        start = min(start, tokens)
        content = b"".join(make_lines(tokens, start))
        places = sorted({0, len(content), *(cut % len(content) for cut in cuts)})
        chunks = [content[a:b] for a, b in zip(places, places[1:], strict=False)]
        read = read_all(TokenStreamReader(ATTEMPT, "v1" if start else "", start), chunks)
        self.assertEqual(read, ("".join(f"{i} " for i in range(start, tokens)), True, ""))

    @hypothesis.settings(derandomize=True, max_examples=500)
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.sampled_from(make_lines(5) + make_lines(5, 0, "v2") + make_lines(3)),
                strategies.binary(max_size=40),
            ),
            max_size=12,
        )
    )
    def test_no_wrong_token_passes(self, chunks: list[bytes]) -> None:
        text, finished, _ = read_all(TokenStreamReader(ATTEMPT, "", 0), chunks)
        self.assertTrue("0 1 2 3 4 ".startswith(text))
        if finished:
            self.assertIn(text, ("0 1 2 ", "0 1 2 3 4 "))

    def test_refuses_crossed_mixed_repeated_and_late(self) -> None:
        """A reused connection delivers another call's answer, or an engine switches versions.

        Callers would otherwise read another caller's answer, or text of two versions.
        """
        crossed = TokenStreamReader("other.2", "", 0)
        self.assertEqual(read_all(crossed, make_lines(2))[2], "answer_crossed")
        mixed = TokenStreamReader(ATTEMPT, "v1", 1)
        self.assertEqual(read_all(mixed, make_lines(2, 1, "v2"))[2], "version_mismatch")
        repeated = TokenStreamReader(ATTEMPT, "v1", 1)
        self.assertEqual(read_all(repeated, make_lines(2, 0))[2], "answer_broken")
        late = TokenStreamReader(ATTEMPT, "", 0)
        self.assertEqual(read_all(late, [*make_lines(1), *make_lines(1)])[2], "answer_broken")
