"""Tests of the nodes together."""
