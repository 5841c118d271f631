"""Decisions on routing, admission, refusal and membership; pure logic without network access."""
