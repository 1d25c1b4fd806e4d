"""Shared parts of the scripted cases 6 to 10."""
