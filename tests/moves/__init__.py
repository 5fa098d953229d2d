"""Tests of moves of runs."""
