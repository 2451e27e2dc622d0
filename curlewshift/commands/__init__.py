"""The command line: one module for each command, which imports its subsystem only when it is called."""
