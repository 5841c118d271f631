"""Settings of one process and the fleet's files: reading, merging and validation."""
