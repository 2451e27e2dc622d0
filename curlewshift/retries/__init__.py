"""What is tried again, by whom, and what is then promised. No I/O and no clock of its own."""
