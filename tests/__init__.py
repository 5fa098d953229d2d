"""Tests of savorylift, with the fake servers that they run against."""
