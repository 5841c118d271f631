r"""Works out the earliest time at which every engine can hold a named version, by links alone.

    python3 -m bench.weights_floor --chunks 64 --chunk-bytes 32768 \
        --origin 9.9 --thin 10.5 --instance 3.8

Rates are in megabits a second. The time that an engine needs to finish its requests and to load
the weights is not included.
"""

import argparse
import dataclasses
import sys

BITS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Links:
    """The rates of a deployment's links, in megabits a second.

    Attributes:
      origin: The rate of the origin.
      thin: The rate between two regions.
      instance: The rate of an instance that runs an engine.
    """

    origin: float
    thin: float
    instance: float


def seconds_over(size: float, mbit: float) -> float:
    """Returns the seconds that a number of bytes takes over a link."""
    return size * BITS / (mbit * 1_000_000.0)


def floor_seconds(chunks: int, chunk_bytes: int, links: Links) -> float:
    """Returns the seconds until the last instance of another region has the whole version.

    Counts from the time at which the version is named. The transfer is pipelined by chunks: the
    narrowest link carries the whole version, and each other link adds the time of one chunk.
    """
    rates = (links.origin, links.thin, links.instance)
    narrowest = min(rates)
    whole = seconds_over(chunks * chunk_bytes, narrowest)
    one_each = sum(seconds_over(chunk_bytes, rate) for rate in rates)
    return whole + one_each - seconds_over(chunk_bytes, narrowest)


def main(arguments: list[str]) -> int:
    """Prints the floor, and each measured time as a multiple of it."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--chunks", type=int, required=True)
    parser.add_argument("--chunk-bytes", type=int, required=True)
    parser.add_argument("--origin", type=float, required=True, help="megabits a second")
    parser.add_argument("--thin", type=float, required=True, help="megabits a second")
    parser.add_argument("--instance", type=float, required=True, help="megabits a second")
    parser.add_argument("--measured", type=float, nargs="*", default=[], help="seconds")
    options = parser.parse_args(arguments)
    links = Links(options.origin, options.thin, options.instance)
    floor = floor_seconds(options.chunks, options.chunk_bytes, links)
    print(f"floor {floor:.2f} s")
    for measured in options.measured:
        print(f"{measured:.2f} s is {measured / floor:.2f} times the floor")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
