"""Test doubles and helpers that the steps share."""
