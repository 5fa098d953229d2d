"""Tests of the known state of backend servers."""
