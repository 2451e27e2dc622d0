"""What set-ups may have left at media servers, and who still has to be told that it is over. No I/O."""
