"""curlewshift: a session front that places viewings on media servers with shared links and adapts their quality layers."""
