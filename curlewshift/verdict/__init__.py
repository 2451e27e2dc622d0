"""Checks the six rules against what stand-ins and viewers recorded on their own sockets. Independent of the front and the
session core."""
