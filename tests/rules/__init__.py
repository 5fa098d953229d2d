"""Tests of the rules file."""
