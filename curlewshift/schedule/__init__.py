"""When things are due: structures for time, without a clock of their own."""
