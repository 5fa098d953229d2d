"""Tests of connections and HTTP."""
