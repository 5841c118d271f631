"""What makes an outcome provable: digests that tie an answer to its own request."""
