"""Part of endivetally; see its modules."""
