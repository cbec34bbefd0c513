"""Abstract base classes between the core and the outside world."""
