"""The command line: a file a noun, each importing its subsystem when it is called."""
