"""A scripted bad day: stand-ins and fronts as processes on loopback, judged from the sockets."""
