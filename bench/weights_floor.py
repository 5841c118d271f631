r"""Works out the earliest time at which every engine can hold a named version, by links alone.

    python3 -m bench.weights_floor --chunks 64 --chunk-bytes 32768 \
        --origin 9.9 --thin 10.5 --instance 3.8

Rates are in megabits a second. What an engine takes to end its runs and to load is not counted.
"""

import argparse
import dataclasses
import sys

BITS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Links:
    """The rates of a deployment's links, in megabits a second.

    Attributes:
      origin: Of the origin.
      thin: Between two regions.
      instance: Of the instance beside an engine.
    """

    origin: float
    thin: float
    instance: float


def seconds_over(size: float, mbit: float) -> float:
    """Returns how long some bytes take over a link."""
    return size * BITS / (mbit * 1_000_000.0)


def floor_seconds(chunks: int, chunk_bytes: int, links: Links) -> float:
    """Returns the seconds from a naming until the last instance of another region has it all.

    Chunks pass from link to link while others follow, so that the narrowest link carries the whole
    and each other link delays it by one chunk.
    """
    rates = (links.origin, links.thin, links.instance)
    narrowest = min(rates)
    whole = seconds_over(chunks * chunk_bytes, narrowest)
    one_each = sum(seconds_over(chunk_bytes, rate) for rate in rates)
    return whole + one_each - seconds_over(chunk_bytes, narrowest)


def main(arguments: list[str]) -> int:
    """Prints the floor, and a measured time as a multiple of it."""
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
