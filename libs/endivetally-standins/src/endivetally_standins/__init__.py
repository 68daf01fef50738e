"""Stand-ins for systems outside of endivetally, for tests, demos and benchmarks."""
