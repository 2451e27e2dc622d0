"""Search in the emulator for scripts on which the rules do badly, and reduction of those found to their cause."""
