"""Runnable examples and the stand-ins that they use."""
