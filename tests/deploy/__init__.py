"""Tests of the deploy file: its build and its program."""
