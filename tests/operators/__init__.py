"""Tests of the command-line commands for operators."""
