"""The bench: response times and messages against the least possible."""
