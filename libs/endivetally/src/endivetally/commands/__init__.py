"""Commands of the command line, imported when they are called."""
