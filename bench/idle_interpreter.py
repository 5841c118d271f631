"""An idle Python interpreter, the baseline for memory measurements."""

import sys
import time

IDLE_SECONDS = 60.0

if __name__ == "__main__":
    sys.stdout.write("READY 0\n")
    sys.stdout.flush()
    time.sleep(IDLE_SECONDS)
