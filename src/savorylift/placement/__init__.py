"""Chooses backend servers for requests and queues requests without room."""
