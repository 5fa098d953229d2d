"""Tests of the peers slice."""
