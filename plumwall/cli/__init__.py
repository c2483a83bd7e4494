"""The commands: each parses its words, calls a part, prints what came of it."""
