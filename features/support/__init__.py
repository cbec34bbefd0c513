"""Helpers that the steps share."""
