"""Admission control: caller identity, fair queueing, the concurrency limit and Retry-After."""
