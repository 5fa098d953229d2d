"""Tests of beliefs about backend servers."""
