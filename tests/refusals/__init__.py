"""Tests of counting and reporting refused requests."""
