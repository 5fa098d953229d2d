"""Tests of membership, replication and messages between nodes."""
