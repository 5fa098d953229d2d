"""Tests of the completion interface."""
