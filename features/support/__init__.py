"""Test doubles shared by the steps."""
