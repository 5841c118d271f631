"""Data types and small helpers that all other packages share; nothing here does I/O."""
