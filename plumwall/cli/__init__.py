"""The commands. Each parses its arguments, calls the part that does the work, and prints the result."""
