"""The test runner, and tests that span several packages or start real processes."""
