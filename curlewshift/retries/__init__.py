"""Retries: idempotency keys of client requests, and session ends repeated to media servers. No I/O, no clock of its own."""
