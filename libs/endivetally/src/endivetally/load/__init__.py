"""Open-loop load and the check of its answers."""
