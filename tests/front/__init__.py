"""Tests of the front program."""
