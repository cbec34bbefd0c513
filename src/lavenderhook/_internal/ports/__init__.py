"""Abstract base classes of the services that the core and the queues use."""
