"""Digests that bind an answer to its request, so that a reported outcome can be relied on."""
