"""Tests of the client slice."""
