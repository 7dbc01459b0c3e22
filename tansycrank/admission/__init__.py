"""The door: who is asking, whose turn it is, and when to come back. Decisions apart from `gate`."""
