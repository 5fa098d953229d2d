"""The other nodes: roster, heartbeats and messages between nodes."""
