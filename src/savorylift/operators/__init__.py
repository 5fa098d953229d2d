"""Implementations of the command-line commands for operators."""
