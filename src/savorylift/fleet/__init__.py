"""The nodes that hear each other and what they share."""
