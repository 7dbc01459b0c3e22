"""Usual clients of a router of the platform beside one hostile kind of client."""
