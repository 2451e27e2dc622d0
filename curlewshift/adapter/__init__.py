"""The wire of the bench on standard input and output: batches of events in, replies out."""
