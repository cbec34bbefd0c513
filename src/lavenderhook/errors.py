"""Typed failures of lavenderhook."""
