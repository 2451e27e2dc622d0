"""Versioned distribution of the site configuration: ordering, replicated storage, transfer and status. Free of I/O."""
