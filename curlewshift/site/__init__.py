"""Settings of a site (one deployment): XML with a schema, read into plain objects; and its certificate authority."""
