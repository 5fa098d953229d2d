"""Limits that servers name, kept over all nodes by permits of one issuer."""
