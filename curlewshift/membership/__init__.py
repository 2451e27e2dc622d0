"""Which fronts of a site are in, suspected and gone, free of I/O."""
