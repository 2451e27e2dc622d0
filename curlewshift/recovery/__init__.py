"""Crash recovery: what a restarted front does about the sessions that its previous processes left at media servers."""
