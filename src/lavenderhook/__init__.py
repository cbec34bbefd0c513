"""A cluster scheduler for services, batch tasks and gangs, driven by labels and selectors."""

__version__ = "0.1.0"
