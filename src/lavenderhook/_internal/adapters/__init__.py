"""Implementations of the ports over HTTP, and the HTTP front ends."""
