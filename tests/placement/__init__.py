"""Tests of choosing backend servers and of the queue."""
