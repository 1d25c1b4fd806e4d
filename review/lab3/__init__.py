"""Shared parts of the scripts of the third review."""
