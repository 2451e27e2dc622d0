"""What the fronts of a site share: rights lent for a term, counts with ages, evidence on media servers. Free of I/O."""
