"""What may pass the door, decided without I/O."""
