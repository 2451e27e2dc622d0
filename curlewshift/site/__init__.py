"""What a deployment states: an XML form with a schema, read into plain objects."""
