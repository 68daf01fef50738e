"""Process settings and the operators' configuration: types, checks, storage."""
