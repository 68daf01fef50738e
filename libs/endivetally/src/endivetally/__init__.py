"""endivetally: a dispatcher for sub-second tasks."""
