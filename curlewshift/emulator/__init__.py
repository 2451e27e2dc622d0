"""The systems that fronts serve, and fronts themselves, in virtual time: for sizes that no machine here can host."""
