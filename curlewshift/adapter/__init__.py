"""Adapter to the bench's line protocol on standard input and output: reads batches of events, writes replies."""
