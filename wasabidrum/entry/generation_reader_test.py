"""Tests of the reader: whatever bytes come, only the caller's next tokens pass."""

import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from ..core.errors import CodedError
from .generation_reader import GenerationReader

ATTEMPT = "r.1"


def make_lines(tokens: int, start: int = 0, version: str = "v1") -> list[bytes]:
    """Returns a whole answer's lines."""
    events: list[dict[str, object]] = [{"request_id": ATTEMPT, "version": version}]
    events += [{"i": i, "t": f"{i} "} for i in range(start, tokens)]
    events.append({"done": True, "tokens": tokens, "version": version})
    return [msgspec.json.encode(event) + b"\n" for event in events]


def read_all(reader: GenerationReader, chunks: list[bytes]) -> tuple[str, bool, str]:
    """Returns the text passed on, whether it is whole, and the code of an error."""
    text, finished = "", False
    try:
        for chunk in chunks:
            generation = reader.take(chunk)
            text += "".join(generation.tokens)
            finished = generation.finished
    except CodedError as error:
        return text, False, error.code
    return text, finished, ""


class GenerationReaderTest(unittest.TestCase):
    """What passes is a prefix of the true answer, and whole only with its true end."""

    @hypothesis.settings(derandomize=True, max_examples=300)
    @hypothesis.given(
        strategies.integers(0, 6),
        strategies.integers(0, 6),
        strategies.lists(strategies.integers()),
    )
    def test_any_split_reads_alike(self, tokens: int, start: int, cuts: list[int]) -> None:
        start = min(start, tokens)
        content = b"".join(make_lines(tokens, start))
        places = sorted({0, len(content), *(cut % len(content) for cut in cuts)})
        chunks = [content[a:b] for a, b in zip(places, places[1:], strict=False)]
        read = read_all(GenerationReader(ATTEMPT, "v1" if start else "", start), chunks)
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
    def test_any_bytes_pass_no_wrong_token(self, chunks: list[bytes]) -> None:
        text, finished, _ = read_all(GenerationReader(ATTEMPT, "", 0), chunks)
        self.assertTrue("0 1 2 3 4 ".startswith(text))
        if finished:
            self.assertIn(text, ("0 1 2 ", "0 1 2 3 4 "))

    def test_refuses_crossed_mixed_repeated_and_late(self) -> None:
        """Answers cross on a reused connection, or an engine switched versions meanwhile.

        A parent would read another's answer, or a speech of two versions.
        """
        crossed = GenerationReader("other.2", "", 0)
        self.assertEqual(read_all(crossed, make_lines(2))[2], "answer_crossed")
        mixed = GenerationReader(ATTEMPT, "v1", 1)
        self.assertEqual(read_all(mixed, make_lines(2, 1, "v2"))[2], "version_mismatch")
        repeated = GenerationReader(ATTEMPT, "v1", 1)
        self.assertEqual(read_all(repeated, make_lines(2, 0))[2], "answer_broken")
        late = GenerationReader(ATTEMPT, "", 0)
        self.assertEqual(read_all(late, [*make_lines(1), *make_lines(1)])[2], "answer_broken")
