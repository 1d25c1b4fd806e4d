"""Adapter to the users' platform: names, formats and calls.

Nothing here decides, and nothing outside knows the platform's names.
"""

__all__ = []
