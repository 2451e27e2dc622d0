"""State on disk that outlives a process."""
