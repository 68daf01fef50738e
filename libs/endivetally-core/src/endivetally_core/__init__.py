"""Errors, messages, links, logs and metrics shared by all endivetally processes."""
