"""Adapter to the users' platform: names, formats and calls.

It only translates: scheduling decisions are made in other packages, and those
do not know the platform's own names.
"""

__all__ = []
