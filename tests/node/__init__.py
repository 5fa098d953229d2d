"""Tests of whole nodes wired from settings."""
