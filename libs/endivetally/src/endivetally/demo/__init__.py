"""The demonstration on loopback."""
