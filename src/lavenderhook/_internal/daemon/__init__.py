"""The daemon: settings, logging and the runtime."""
