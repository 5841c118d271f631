"""Numbered log events, log output and metrics."""
