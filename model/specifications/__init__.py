"""The specifications, one module each."""
