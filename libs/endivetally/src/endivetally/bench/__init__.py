"""Load test of a fleet: compares response times and messages with their minimum."""
