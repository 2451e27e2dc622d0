"""Admission control: rate limits, concurrency limits and access tokens, decided without I/O."""
