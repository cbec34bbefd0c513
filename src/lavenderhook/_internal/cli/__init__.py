"""Command-line tool for callers and operators."""
