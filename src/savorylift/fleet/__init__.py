"""Peer membership, replicated store records and messages between nodes."""
