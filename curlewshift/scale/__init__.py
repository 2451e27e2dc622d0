"""Scale runs and slope measurements: hollow nodes (all node protocols, no viewers) and real nodes, load and faults.

This package only drives the nodes under test; it makes no policy decisions.
"""
