"""Overload control: which viewings are admitted when not all can be, alike at every front, and bounds on retries. Free of I/O."""
