"""Bytes on connections: HTTP/1.1 by `h11` on asyncio, nothing decided."""
