"""The entry role: takes requests from callers and routes them to endpoints."""
