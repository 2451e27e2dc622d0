"""Teardown: what set-ups may have left at media servers, and which servers still have to release it. No I/O."""
