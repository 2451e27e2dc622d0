"""The running front: anyio task groups round the desk."""
