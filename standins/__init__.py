"""Simulated external systems for tests: the platform, engines, services and faulty links."""
