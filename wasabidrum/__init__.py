"""wasabidrum: every process between callers and back ends, run by declarations in files."""

__version__ = "0.1.0"
