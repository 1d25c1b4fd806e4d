"""Calls of clients and of other nodes, and what operators are shown."""
