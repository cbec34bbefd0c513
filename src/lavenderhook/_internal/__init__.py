"""Implementation of lavenderhook; nothing here is part of the public interface."""
