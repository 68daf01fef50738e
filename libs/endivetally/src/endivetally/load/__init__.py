"""Open-loop load generator with checks of the responses."""
