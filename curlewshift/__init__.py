"""curlewshift: a front that places and shapes viewings on media servers with shared links."""
