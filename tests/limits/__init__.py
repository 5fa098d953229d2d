"""Tests of limits that servers name."""
