"""Commands of the command line, each imported when it is called."""
