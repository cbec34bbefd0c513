"""Queues of submissions: decisions without I/O on what runs where and when."""
