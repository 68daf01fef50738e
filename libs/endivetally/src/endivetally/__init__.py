"""Command line, benchmarks and reports of the endivetally task dispatcher."""
