"""Queues of submissions: pure decisions on what runs where and when."""
