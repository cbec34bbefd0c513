"""The command-line tool of callers and operators."""
