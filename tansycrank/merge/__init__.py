"""Merging the rows of shard requests into one result."""
