"""Clients of the platform: its configuration, store, instance list, engines and weights."""
