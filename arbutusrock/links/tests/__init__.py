"""Tests of :mod:`arbutusrock.links`."""
